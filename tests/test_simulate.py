"""The commands of `mapleline simulate` and their aliases under `lab`."""

import json
from unittest import mock

import pytest
from click.testing import CliRunner

from mapleline.cli.commands import group
from mapleline.simulation.behaviour_digest import Behaviour

MEASURED = [Behaviour(400, False, "aa", {"call": 1}), Behaviour(401, False, "bb", {"call": 2})]


def invoke(*arguments):
    return CliRunner().invoke(group, list(arguments), catch_exceptions=False)


@pytest.fixture
def measured():
    """Replace the simulation by the digests of two seeds."""
    with mock.patch("mapleline.simulation.behaviour_digest.measure_all", return_value=MEASURED) as measure_all:
        yield measure_all


@pytest.mark.parametrize("names", [("simulate", "run"), ("lab", "days")])
@pytest.mark.parametrize(("broken", "status"), [(0, 0), (1, 1)])
def test_run_reports_the_number_of_runs_that_violate_a_rule(names, broken, status):
    with mock.patch("mapleline.simulation.runner.run_many", return_value=broken) as run_many:
        done = invoke(*names, "--seeds", "3", "--first", "7", "--jobs", "1", "--grown")
    assert (done.exit_code, done.output) == (status, f"3 days, {broken} with a rule broken\n")
    assert run_many.call_args.args[:2] == (range(7, 10), 1)
    assert run_many.call_args.args[3] is True


@pytest.mark.parametrize("names", [("simulate", "digest"), ("lab", "digest")])
def test_digest_of_unchanged_behaviour_equals_its_baseline(names, measured, tmp_path):
    baseline = tmp_path / "baseline.json"
    written = invoke(*names, "--seeds", "2", "--jobs", "1", "--json", str(baseline))
    assert written.exit_code == 0
    assert json.loads(baseline.read_text()) == [behaviour.to_json() for behaviour in MEASURED]
    compared = invoke(*names, "--seeds", "2", "--jobs", "1", "--compare", str(baseline))
    assert compared.exit_code == 0
    assert compared.output == "seed 400: aa\nseed 401: bb\n2 days, 0 with another digest\n"
    assert measured.call_args.args == (range(400, 402), 1, False)


@pytest.mark.parametrize("names", [("simulate", "digest"), ("lab", "digest")])
def test_digest_of_changed_behaviour_is_reported_with_status_1(names, measured, tmp_path):
    baseline = tmp_path / "baseline.json"
    rows = [behaviour.to_json() for behaviour in MEASURED]
    rows[1]["events"]["call"] = 3
    baseline.write_text(json.dumps(rows))
    compared = invoke(*names, "--seeds", "2", "--jobs", "1", "--compare", str(baseline))
    assert compared.exit_code == 1
    assert compared.output == "seed 400: aa\nseed 401: bb differs\n2 days, 1 with another digest\n"


def test_aliases_are_not_listed():
    listed = invoke("lab", "--help").output
    assert "cores" in listed
    assert "days" not in listed
    assert "digest" not in listed

"""Load measurements: the counts of all parties agree with each other and with sums computed by hand."""

import json

import pyarrow.parquet
import pytest
from test_settings import command

from mapleline.lab import cores


@pytest.mark.parametrize(
    ("times", "units_beyond"),
    [
        ([0.0] * 20, 0),  # exactly the burst
        ([0.0] * 25, 5),
        ([0.0] * 20 + [0.5] * 7, 2),  # five of the seven are refilled
        ([n / 10 for n in range(100)], 0),  # exactly the quota's rate
        ([n / 20 for n in range(200)], 200 - 20 - 99.5),
    ],
)
def test_units_beyond_a_bucket(times, units_beyond):
    granted = cores.METERED_CUSTOMERS * (cores.QUOTA_BURST_UNITS + cores.QUOTA_RATE_PER_S * 10)
    assert cores.beyond_buckets({"1": times}, 10) * granted == pytest.approx(units_beyond, abs=1)


def test_load_ingress_and_stand_ins_agree_on_counts():
    run = cores.trial(workers=2, rate=300, seconds=1, connections=16, seed=3)
    ends = run["ends"]
    assert run["offered_rps"] * 1 == sum(ends.values()) and ends["unanswered"] == 0
    assert 200 < run["offered_rps"] < 400 and ends["200"] > 0.5 * run["offered_rps"]
    assert set(ends) <= {"200", "429", "503", "unanswered"}
    assert 5 <= run["p50_ms"] <= run["p99_ms"] <= run["p999_ms"]  # each request takes 5 ms at a server
    assert run["cpu_ms_per_request"] > 0 and run["rss_mb"] > 60 and 0 <= run["quota_error"] < 0.5


def test_load_is_determined_by_its_seed():
    from mapleline.lab.load import Load

    settings = {"seed": 7, "rate": 100.0, "seconds": 5, "metered_share": 0.3, "metered": 20, "customers": 100}
    first, second, other = Load(settings), Load(settings), Load({**settings, "seed": 8})
    assert (first.due, first.customers) == (second.due, second.customers) and first.due != other.due
    assert first.due == sorted(first.due) and first.due[-1] < 5
    assert first.request(3) == second.request(3) and b"X-Weight: units=1" in first.request(3)


def test_results_are_written_as_json_parquet_and_plot(tmp_path, monkeypatch):
    from click.testing import CliRunner

    from mapleline.cli.commands import group

    def trial(workers, rate, seconds, connections, seed):
        held = rate < 2000 * workers
        return {
            "workers": workers,
            "offered_rps": rate,
            "answered_rps": rate,
            "p50_ms": 1.0,
            "p99_ms": 2.0 if held else 99.0,
            "p999_ms": 3.0,
            "cpu_ms_per_request": 0.1,
            "quota_error": 0.0,
            "rss_mb": 1.0,
            "load_lag_p99_ms": 0.1,
            "ends": {"200": 1},
            "held": held,
        }

    monkeypatch.setattr(cores, "trial", trial)
    files = {kind: tmp_path / f"runs.{kind}" for kind in ("json", "parquet", "png")}
    args = [
        "lab",
        "cores",
        "--workers",
        "1,2",
        "--json",
        files["json"],
        "--parquet",
        files["parquet"],
        "--plot",
        files["png"],
    ]
    done = CliRunner().invoke(group, [str(arg) for arg in args], catch_exceptions=False)
    assert done.exit_code == 0
    runs = json.loads(files["json"].read_text())["runs"]
    highest = [run["offered_rps"] for run in runs if run["kind"] == "highest"]
    assert all(0.95 * 2000 * n < rate < 2000 * n for n, rate in zip((1, 2), highest, strict=True))
    assert pyarrow.parquet.read_table(files["parquet"]).column("workers").to_pylist() == [1, 1, 2, 2]
    assert files["png"].read_bytes().startswith(b"\x89PNG")


def test_malformed_numbers_of_workers_are_rejected():
    done = command("lab", "cores", "--workers", "1,x")
    assert done.returncode == 2 and "expected numbers and commas" in done.stderr

"""The program's own settings and the command line: every fault is reported with its line and key."""

import copy
import json
import os
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ingress import ROOT, Counter, Discovery, Peer, config_for

from mapleline.settings import own


def command(*args, **environment):
    """Run `mapleline` with these arguments and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "mapleline", *map(str, args)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        env={**os.environ, **environment},
    )


def faults_of(text):
    return [str(fault) for fault in own.read(text)[1]]


@pytest.mark.parametrize(
    ("text", "expected_faults"),
    [
        ("cores {\n  worker = 2\n}", ["line 2: cores.worker: unknown; did you mean 'workers'?"]),
        ("cores {\n  workers = 0\n}", ["line 2: cores.workers: expected 1 to 16, got 0"]),
        ("cores { workers = 2.0 }", ["line 1: cores.workers: expected a whole number, got 2.0"]),
        ("cores { workers = true }", ["line 1: cores.workers: expected a whole number, got True"]),
        (
            "cores { workers = 1 + 1 }",
            ["line 1: cores.workers: expected a constant: a number, a text, true, false, null or a list of them"],
        ),
        (
            "cores { workers = n }",
            ["line 1: cores.workers: expected a constant: a number, a text, true, false, null or a list of them"],
        ),
        ('log { form = "jason" }', ["line 1: log.form: expected one of auto, json, text; did you mean 'json'?"]),
        ('log { form = "a${b}" }', ["line 1: log.form: expected a constant, not an expression in a text"]),
        ("cores {\n workers = 1\n workers = 2\n}", ["line 3: cores.workers: set twice, first on line 2"]),
        ("cores {}\n\ncores {}", ["line 3: cores: stands twice, first on line 1"]),
        ('cores "a" {}', ["line 1: cores.a: this block has no label"]),
        ("cores {\n zone {}\n}", ["line 2: cores.zone: no block is known here"]),
        ("core {}", ["line 1: core: unknown block; did you mean 'cores'?"]),
        ("cores = 1", ["line 1: cores: no such setting here; is a block: write it without '='"]),
        (
            "cores {\n restart_pause_ms = 9000\n}",
            ["line 1: cores.restart_pause_most_ms: expected at least restart_pause_ms (9000)"],
        ),
        (
            'cores {\n lean = 1\n offer_ms = "x"\n}',
            [
                "line 2: cores.lean: expected 1.05 to 10, got 1",
                "line 3: cores.offer_ms: expected a whole number, got 'x'",
            ],
        ),
    ],
)
def test_every_fault_names_its_line_and_key(text, expected_faults):
    assert faults_of(text) == expected_faults


def test_syntax_error_names_the_line():
    assert faults_of("cores {\n workers = = 2\n}")[0].startswith("line 2: not HCL: ")


def test_absent_settings_have_defaults_and_the_shipped_file_lists_them():
    assert own.read("") == (own.ProgramSettings(), []) == own.read("cores { workers = null }")
    assert own.load(str(ROOT / "deploy" / "mapleline.hcl")) == (own.ProgramSettings(), [])


@given(st.integers(1, 16), st.floats(1.05, 10, allow_nan=False), st.sampled_from(["auto", "json", "text"]))
def test_values_are_read_as_written(workers, lean, form):
    cores = f"cores {{\n workers = {workers}\n lean = {lean:.6f}\n}}"
    settings_read, faults = own.read(f'{cores}\nlog {{ form = "{form}" }}')
    assert not faults
    assert (settings_read.cores.workers, settings_read.log.form) == (workers, form) and abs(
        settings_read.cores.lean - lean
    ) < 1e-5


def test_check_reports_all_faults_of_json_and_hcl_files_at_once(tmp_path):
    config = copy.deepcopy(config_for(Counter(), Discovery(), [Peer(lambda *_: None)]))
    good, bad, hcl = tmp_path / "good.json", tmp_path / "bad.json", tmp_path / "own.hcl"
    good.write_text(json.dumps(config))
    config["settings"]["classes"][0]["aim_ns"] = "soon"
    config["settings"]["plans"][1]["refill"] = -1
    config["known"] = {"rev": 1, "all": True, "targets": 3}
    config.update(seed="xyz", counter="nowhere", limits={"sockets": 1})
    bad.write_text(json.dumps(config))
    hcl.write_text("cores { workers = 0 }")
    done = command("check", good, bad, hcl, tmp_path / "none.hcl")
    faults = [line.split(": ", 1)[1].split(":")[0] for line in done.stdout.splitlines()]
    assert done.returncode == 1
    assert faults == [
        "good",
        "seed",
        "settings.classes[0].aim_ns",
        "settings.plans[1].refill",
        "counter",
        "limits.sockets",
        "known",
        "line 1",
        "No such file or directory",
    ]
    assert command("check", good).returncode == 0


@pytest.mark.parametrize(
    ("args", "status", "text"),
    [
        (["--help"], 0, "mapleline check config.json"),
        (["--version"], 0, "mapleline, version"),
        (["nonsense"], 2, "No such command"),
        (["run", "--workers", "17"], 2, "17 is not in the range"),
        (["run", "--settings", "/nowhere/x.hcl"], 2, "--settings"),
        (["counters", "999999999"], 1, "no process"),
        (["completion", "bash"], 0, "_MAPLELINE_COMPLETE"),
    ],
)
def test_exit_codes_and_output(args, status, text):
    done = command(*args)
    assert done.returncode == status and text in done.stdout + done.stderr


def test_counters_does_not_signal_other_programs():
    """SIGUSR1 ends a process without a handler for it."""
    other = subprocess.Popen(["sleep", "60"])
    try:
        done = command("counters", other.pid)
        assert done.returncode == 1 and "is no mapleline" in done.stderr and other.poll() is None
    finally:
        other.kill()
        other.wait()


def test_run_imports_no_unused_packages(tmp_path):
    """Each of these packages would use a part of the 32 MB that the process may have."""
    code = "import sys, mapleline.ingress; print(*sorted({m.split('.')[0] for m in sys.modules}))"
    loaded = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).split()
    assert not {"click", "hcl2", "lark", "numpy", "pyarrow", "matplotlib", "hdrh", "uvloop"} & set(loaded)
    code = "import sys, mapleline.ingress; print(*(m for m in sys.modules if m.startswith('mapleline.')))"
    own_modules = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True)
    assert not [m for m in own_modules.split() if m.split(".")[1] in ("cli", "cores", "lab")]

"""The command line: `mapleline COMMAND`.  Each command imports what it needs when it is called."""

from __future__ import annotations

import sys

#: The global load balancer's commands (balancer/cli/commands.py); `desk` is a hidden alias of `balancer`.  The others
#: are those of the ingress.
BALANCER_COMMANDS = frozenset(
    {"balancer", "desk", "settings", "config", "evacuate", "core", "status", "archive", "try", "soak"}
)
EXIT_MISSING_PACKAGE = 3
EXIT_INTERRUPTED = 130  # as of a shell: 128 and the number of SIGINT


def main() -> int:
    """Run the command that the arguments name.

    Returns:
        The exit code: 0 done, 1 a command that found what it looks for (faults, a missed target), 2 wrong use or
        unusable configuration, 3 a missing package.
    """
    if sys.argv[1:2] and sys.argv[1] in BALANCER_COMMANDS:
        return _run_balancer_command()
    return _run_ingress_command()


def _run_balancer_command() -> int:
    try:
        from ..balancer.cli.commands import main as run
    except ModuleNotFoundError as error:
        return _report_missing_package("system", error)
    return run(sys.argv[1:])


def _run_ingress_command() -> int:
    try:
        from .commands import group
    except ModuleNotFoundError as error:
        return _report_missing_package("cli", error)
    try:
        code = group.main(prog_name="mapleline", standalone_mode=False)
    except ModuleNotFoundError as error:
        return _report_missing_package("all", error)
    except Exception as error:
        return _report_click_error(error)
    return code if isinstance(code, int) else 0


def _report_missing_package(extra: str, error: ModuleNotFoundError) -> int:
    """Say which extra has the package; return the exit code."""
    sys.stderr.write(
        f"mapleline: this command needs more packages: pip install 'mapleline[{extra}]' (no module {error.name})\n"
    )
    return EXIT_MISSING_PACKAGE


def _report_click_error(error: Exception) -> int:
    """Show an error of click's and return its exit code; raise any other error again."""
    import click

    if isinstance(error, click.ClickException):
        error.show()
        return error.exit_code
    if isinstance(error, click.Abort):
        return EXIT_INTERRUPTED
    raise error

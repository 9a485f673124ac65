"""The command line: `mapleline COMMAND`.  Each command imports what it needs when it is called."""

from __future__ import annotations

import sys

#: The global load balancer's commands (balancer/cli/commands.py); `desk` is a hidden alias of `balancer`.  All other
#: commands belong to the ingress.
BALANCER_COMMANDS = frozenset(
    {"balancer", "desk", "settings", "config", "evacuate", "core", "status", "archive", "try", "soak"}
)
EXIT_MISSING_PACKAGE = 3
EXIT_INTERRUPTED = 130  # 128 plus the number of SIGINT, as in a shell


def main() -> int:
    """Run the command that the arguments name.

    Returns:
        The exit code: 0 for success, 1 if a check found faults or a target was missed, 2 for wrong usage or
        invalid configuration, 3 for a missing package.
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
    """Report which extra installs the package; return the exit code."""
    sys.stderr.write(
        f"mapleline: this command needs more packages: pip install 'mapleline[{extra}]' (no module {error.name})\n"
    )
    return EXIT_MISSING_PACKAGE


def _report_click_error(error: Exception) -> int:
    """Show an error raised by click and return its exit code; re-raise any other error."""
    import click

    if isinstance(error, click.ClickException):
        error.show()
        return error.exit_code
    if isinstance(error, click.Abort):
        return EXIT_INTERRUPTED
    raise error

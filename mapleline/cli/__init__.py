"""The command line: `mapleline COMMAND`.  Each command imports what it needs when it is called."""

from __future__ import annotations

import sys

#: The global load balancer's commands (balancer/cli/commands.py); `desk` is an alias of `balancer`.  The others are
#: those of the ingress alone.
BALANCER = frozenset({"balancer", "desk", "settings", "config", "evacuate", "core", "status", "archive", "try"})
NEEDS = "this command needs more packages: pip install 'mapleline[{extra}]' (no module {name})"


def main() -> int:
    """Entry point of the script `mapleline`; returns the exit code.

    0 done, 1 a command that found what it looks for (faults, a broken aim), 2 wrong use or unusable
    configuration, 3 a missing package.
    """
    if sys.argv[1:2] and sys.argv[1] in BALANCER:
        try:
            from ..balancer.cli.commands import main as balancer
        except ModuleNotFoundError as err:
            sys.stderr.write(f"mapleline: {NEEDS.format(extra='system', name=err.name)}\n")
            return 3
        return balancer(sys.argv[1:])
    try:
        from .commands import group
    except ModuleNotFoundError as err:
        sys.stderr.write(f"mapleline: {NEEDS.format(extra='cli', name=err.name)}\n")
        return 3
    try:
        code = group.main(prog_name="mapleline", standalone_mode=False)
    except ModuleNotFoundError as err:
        sys.stderr.write(f"mapleline: {NEEDS.format(extra='all', name=err.name)}\n")
        return 3
    except Exception as err:
        import click

        if isinstance(err, click.ClickException):
            err.show()
            return err.exit_code
        if isinstance(err, click.Abort):
            return 130
        raise
    return code if isinstance(code, int) else 0

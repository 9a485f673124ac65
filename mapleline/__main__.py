"""Entry point of `python -m mapleline`: the ingress, a balancer node (`balancer`), or the command line.

Twisted imports modules of the standard library that neither service uses.  To save memory and start time, an empty
module replaces each of them while the service is imported.  It is removed afterwards, so that a later import gets the
real module.
"""

from __future__ import annotations

import signal
import sys
import types

#: `desk` is a hidden alias of `balancer`.
BALANCER_ARGUMENTS = (["balancer"], ["desk"])
#: Twisted's `compat` module imports it together with `email` and `urllib.request`, a tenth of the start's cost.
COOKIE_MODULE = "http.cookiejar"
#: Twisted's `Deferred` uses only three of its names; the module takes a tenth of a process's memory.
ASYNCIO_MODULE = "asyncio"


def main() -> int:
    """Run the service or command that the arguments select; return the exit code."""
    if sys.argv[1:] in BALANCER_ARGUMENTS:
        return _serve_balancer()
    if len(sys.argv) > 1:
        from .cli import main as run_command

        return run_command()
    return _serve_ingress()


def _serve_balancer() -> int:
    """Run a node of the global load balancer without importing the command line's packages.

    SIGHUP is ignored until the node installs its handler, since it would end a process that is still starting.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stand_in = types.ModuleType(ASYNCIO_MODULE)
    unused = type("Unused", (), {})
    stand_in.__dict__.update(AbstractEventLoop=unused, Future=unused, iscoroutine=_is_coroutine)
    installed = sys.modules.setdefault(ASYNCIO_MODULE, stand_in)
    from .balancer.process import main as serve

    if installed is stand_in:
        del sys.modules[ASYNCIO_MODULE]
    return serve()


def _is_coroutine(value: object) -> bool:
    return isinstance(value, types.CoroutineType)


def _serve_ingress() -> int:
    """Run the ingress without importing the command line's packages."""
    stand_in = sys.modules.setdefault(COOKIE_MODULE, types.ModuleType(COOKIE_MODULE))
    from .ingress import main as serve

    if sys.modules.get(COOKIE_MODULE) is stand_in:
        del sys.modules[COOKIE_MODULE]
    return serve()


if __name__ == "__main__":
    sys.exit(main())

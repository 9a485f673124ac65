"""`python -m mapleline`: the ingress, a node of the balancer (`balancer`), or the command line with other arguments.

Both services start without modules of the standard library that they import through Twisted and do not use: an empty
module stands in for each while they are imported, and is taken out afterwards, so that a later import gets the real
one.
"""

from __future__ import annotations

import signal
import sys
import types

#: `desk` is the hidden alias of `balancer`, its first name.
BALANCER_ARGUMENTS = (["balancer"], ["desk"])
#: Twisted's `compat` module imports it, and with it `email` and `urllib.request`: a tenth of what a start costs.
COOKIE_MODULE = "http.cookiejar"
#: Twisted's `Deferred` takes three names of it: a tenth of a process's memory.
ASYNCIO_MODULE = "asyncio"


def main() -> int:
    """Run what the arguments ask for; return the exit code."""
    if sys.argv[1:] in BALANCER_ARGUMENTS:
        return _serve_balancer()
    if len(sys.argv) > 1:
        from .cli import main as run_command

        return run_command()
    return _serve_ingress()


def _serve_balancer() -> int:
    """Run a node of the global load balancer, without the command line's packages.

    SIGHUP is ignored until the node has its own handler: it would end a process that is still starting.
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
    """Run the ingress."""
    stand_in = sys.modules.setdefault(COOKIE_MODULE, types.ModuleType(COOKIE_MODULE))
    from .ingress import main as serve

    if sys.modules.get(COOKIE_MODULE) is stand_in:
        del sys.modules[COOKIE_MODULE]
    return serve()


if __name__ == "__main__":
    sys.exit(main())

"""`python -m mapleline` serves; with arguments it is the command line, which imports more."""

import sys
import types

UNUSED = "http.cookiejar"  # Twisted's compat module imports it, and with it email and urllib.request


def main() -> int:
    if sys.argv[1:] in (
        ["balancer"],
        ["desk"],
    ):  # the role of the global load balancer starts without the command line's packages
        stand_in = types.ModuleType("asyncio")  # three names that Twisted's Deferred takes, for what we don't use:
        stand_in.AbstractEventLoop = stand_in.Future = type("Unused", (), {})  # a tenth of a process's memory
        stand_in.iscoroutine = lambda value: isinstance(value, types.CoroutineType)
        held = sys.modules.setdefault("asyncio", stand_in)
        from .balancer.process import main as serve_balancer

        if held is stand_in:
            del sys.modules["asyncio"]
        return serve_balancer()
    if len(sys.argv) > 1:
        from .cli import main as command

        return command()
    # A tenth of what a start costs, and each start counts after a release: done without, then left as it was.
    empty = sys.modules.setdefault(UNUSED, types.ModuleType(UNUSED))
    from .ingress import main as serve

    if sys.modules.get(UNUSED) is empty:
        del sys.modules[UNUSED]
    return serve()


if __name__ == "__main__":
    sys.exit(main())

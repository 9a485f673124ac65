"""`python -m mapleline` serves; with arguments it is the command line, which imports more."""

import sys


def main() -> int:
    if len(sys.argv) > 1:
        from .cli import main as command

        return command()
    from .ingress import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())

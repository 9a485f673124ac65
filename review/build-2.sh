#!/bin/sh
# Build of the stand-ins that the scripts of this review start: they are part of rig2.py, which the standard library
# of Python 3.11 or newer runs as it is.  The nodes come from the `build` line of deploy/system.toml.
cd "$(dirname "$0")" && python3 -m py_compile rig2.py 4/case.py 5/case.py 6/case.py 7/case.py

#!/bin/sh
# The stand-ins of the scripts are Python programs that need the standard library only: nothing is compiled or installed.
# This checks that each of them can be read.  The nodes themselves are built by the `build` line of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in rig.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done

#!/bin/sh
# Builds what the scripts under review/ start. The controllers are built by the deploy file. The stand-ins are Python
# programs in review/lib, which need no build step: this checks that they compile.
cd "$(dirname "$0")" && exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("the stand-ins compile")
'

#!/usr/bin/env bash
# Prepares the cases 4 to 8, after the build of deploy/service.toml. Their stand-ins are Python programs in lib-2 that
# need nothing but Python's own library, so there is only to check that they can be read and that the jar is there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib
for f in list(pathlib.Path("review/lib-2").glob("*.py")) + list(pathlib.Path("review").glob("[4-8]/case.py")):
    ast.parse(f.read_text(), str(f))
PY
test -f target/chalkhollow.jar || { echo "target/chalkhollow.jar is missing: run the build of deploy/service.toml"; exit 1; }

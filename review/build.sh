#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library only, so
# compiling them is all. The gateways come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('the cases need Python 3.11')
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PYTHON
test -d ../target/deps

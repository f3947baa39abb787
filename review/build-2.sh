#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python of the standard library; the
# build only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in shared_2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 1
done

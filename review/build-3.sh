#!/bin/bash
# Checks that the stand-ins of the cases 11 to 15 can run. They are Python
# programs that need nothing to be built: review/standins-3, and the store and
# packet format of platform/test/soak_world.py.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in review/standins-3/world.py platform/test/soak_world.py; do
  python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$it"
done

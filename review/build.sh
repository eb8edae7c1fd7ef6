#!/bin/sh
# Prepares the stand-ins that the scripts start. They are Python programs without dependencies, so this only checks
# that they can be read: review/standins/deployment.py and, for the store, platform/test/soak_world.py.
set -e
cd "$(dirname "$0")/.."
for it in platform/test/soak_world.py review/standins/deployment.py review/[1-5]/play.py; do
  [ ! -e "$it" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done

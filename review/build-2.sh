#!/bin/bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs, so there
# is nothing to compile: it checks that Python runs them. Run it after the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/apps/kumquatvalved
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-2 python3 -c "import small_deployment"

#!/bin/bash
# Plays the case of this folder. Exits with 1 when the rule was broken, 0 when it
# held, 2 when the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 run.py

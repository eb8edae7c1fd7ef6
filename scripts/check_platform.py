"""Checks that only platform/ and deploy/ know the platform's names.

The names are those of its calls, fields and kinds that the product does not
use itself.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = re.compile(r"heartbeatAddr|datagramAddr|warmupLeftMs|pathPrefix|targetLatencyMs|idleTimeoutMs|maxFlows\b|"
                   r"internalPorts|waitMs|staleOk|/kumquatvalve/(objects|instances|readiness)")
OUTSIDE = ("*.cc", "*.h", "*.proto", "*.py", "*.yaml")
ALLOWED = ("platform/", "deploy/", "scripts/check_platform.py")


def main():
    files = subprocess.run(["git", "ls-files", *OUTSIDE], cwd=ROOT, capture_output=True, text=True,
                           check=True).stdout.split()
    errors = []
    for name in files:
        if name.startswith(ALLOWED) or ".pb." in name:
            continue
        for i, line in enumerate((ROOT / name).read_text().splitlines(), 1):
            if NAMES.search(line):
                errors.append(f"{name}:{i}: {line.strip()}")
    print("\n".join(errors + [f"platform names outside platform/ and deploy/: {len(errors)}"]))
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

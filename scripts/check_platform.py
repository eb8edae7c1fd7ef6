"""Checks that the platform's names are used only in platform/ and deploy/.

The names are those of the platform's calls, fields and kinds that the product
does not use itself. Also checks that scripts/install installs all packages
that deploy/system.toml requires.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_NAMES = re.compile(r"heartbeatAddr|datagramAddr|warmupLeftMs|pathPrefix|targetLatencyMs|idleTimeoutMs|maxFlows\b|"
                   r"internalPorts|waitMs|staleOk|/kumquatvalve/(objects|instances|readiness)")
CHECKED_PATTERNS = ("*.cc", "*.h", "*.proto", "*.py", "*.yaml")
ALLOWED_PREFIXES = ("platform/", "deploy/", "scripts/check_platform.py")


def main():
    files = subprocess.run(["git", "ls-files", *CHECKED_PATTERNS], cwd=ROOT, capture_output=True, text=True,
                           check=True).stdout.split()
    errors = []
    for name in files:
        if name.startswith(ALLOWED_PREFIXES) or ".pb." in name:
            continue
        for i, line in enumerate((ROOT / name).read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                errors.append(f"{name}:{i}: {line.strip()}")
    required = re.search(r"^packages = \[(.*)\]", (ROOT / "deploy/system.toml").read_text(), re.M).group(1)
    installed = (ROOT / "scripts/install").read_text().split()
    for package in re.findall(r'"([^"]+)"', required):
        if package not in installed:
            errors.append(f"deploy/system.toml: {package} is not in scripts/install")
    print("\n".join(errors + [f"platform checks: {len(errors)} errors"]))
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

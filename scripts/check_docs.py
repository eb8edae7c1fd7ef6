"""Checks that the reference pages match the code.

Result codes and log events are numbered in headers. Each page must list exactly
these numbers, with the same names. Links between pages must point to existing
files.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def numbered_enum(header, enum_name):
    """Returns {number: name} of an enum whose constants are `kName = number`."""
    text = (ROOT / header).read_text()
    body = re.search(r"enum class " + enum_name + r"[^{]*\{(.*?)\};", text, re.S)
    return {int(n): name for name, n in re.findall(r"k(\w+) = (\d+)", body.group(1))}


def snake_case(name):
    return re.sub(r"(?<!^)([A-Z])", lambda m: "_" + m.group(1).lower(), name).lower()


def table_rows(page):
    """Returns {number: name} of the rows `| 101 | packet_too_short | ...`."""
    text = (ROOT / page).read_text()
    return {int(n): name for n, name in re.findall(r"^\| *(\d+) *\| *`?(\w+)`? *\|", text, re.M)}


def check_table(header, enum_name, page, errors):
    code = {n: snake_case(name) for n, name in numbered_enum(header, enum_name).items()}
    rows = table_rows(page)
    for number in sorted(set(code) | set(rows)):
        if code.get(number) != rows.get(number):
            errors.append(f"{page}: {number} is '{rows.get(number)}', {header} has '{code.get(number)}'")


def check_links(errors):
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]:
        for target in re.findall(r"\]\(([^)#\s]+)", page.read_text()):
            if "://" not in target and not (page.parent / target).exists():
                errors.append(f"{page.relative_to(ROOT)}: link to missing file {target}")


def main():
    errors = []
    check_table("packages/request/include/kumquatvalve/request/result_code.h", "ResultCode",
                "docs/result-codes.md", errors)
    events = "packages/process/include/kumquatvalve/process/log_event.h"
    if (ROOT / events).exists():
        check_table(events, "LogEvent", "docs/events.md", errors)
    check_links(errors)
    for error in errors:
        print(error)
    print(f"doc checks: {len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

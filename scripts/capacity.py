"""Generates the tables of docs/CAPACITY.md from the committed measurements.

usage: scripts/capacity.py [--check]
Without --check the script replaces the tables between the markers of the page;
with it the exit status is 1 when the page does not match the data.
Measurements are in bench/data/points.jsonl: points {"series", "x", "y",
"command"}, with a straight line fitted to each series, and figures {"figure",
"value", "command"}.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
DATA = ROOT / "bench/data/points.jsonl"
BEGIN = "<!-- tables: begin -->\n"
END = "<!-- tables: end -->\n"

# Sizes from docs/design.md, section 1. TODAY is the larger deployment, with 4
# entry instances.
TODAY = {"entries": 4, "upstreams": 11, "services": 2, "flows": 22000, "new_flows": 12.5 * 11, "zones": 4,
         "table_changes_a_day": 40}
TARGET = {"entries": 500, "upstreams": 4700, "services": 900, "flows": 11e6, "new_flows": 59000, "zones": 5,
          # Each of 1,100 settings changes writes one table. Each of 21 failed and 1,300 replaced instances
          # writes two: one when it leaves and one when it returns.
          "table_changes_a_day": 1100 + 2 * (21 + 1300)}
BUDGET = {"bytes": 23000, "cpu": 2.0, "memory": 64.0, "calls": 2000}
SECONDS_A_DAY = 86400


def load():
    series, figures, commands = {}, {}, {}
    for line in DATA.read_text().splitlines():
        it = json.loads(line)
        if "figure" in it:
            figures[it["figure"]] = it["value"]
            commands[it["figure"]] = it["command"]
        else:
            series.setdefault(it["series"], []).append((it["x"], it["y"]))
            commands[it["series"]] = it["command"]
    return series, figures, commands


def fit(points):
    """Returns slope, intercept and the largest residual relative to the largest value."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    intercept = mean_y - slope * mean_x
    worst = max(abs(y - intercept - slope * x) for x, y in points) / max(abs(y) for _, y in points)
    return slope, intercept, worst


def evaluate(line, x):
    return line[0] * x + line[1]


def budget_verdict(value, budget):
    return "**exceeded**" if value > budget else "kept"


def format_number(value):
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def slopes_table(series, lines, commands):
    rows = ["| series | points (x: y) | fit y = a + b x | largest error | command |", "|---|---|---|---|---|"]
    for name, points in series.items():
        slope, intercept, worst = lines[name]
        point_list = ", ".join(f"{format_number(x)}: {format_number(y)}" for x, y in points)
        rows.append(f"| {name} | {point_list} | "
                    f"a = {format_number(intercept) if intercept >= 0 else '-' + format_number(-intercept)}, "
                    f"b = {slope:.4g} | {100 * worst:.1f}% | `{commands[name]}` |")
    return rows


def figures_table(figures, commands):
    return ["| figure | value | command |", "|---|---|---|"] + [
        f"| {name} | {format_number(value)} | `{commands[name]}` |" for name, value in figures.items()]


def size_rows(size, lines, figures):
    """Returns the rows (role, what, value, unit, budget or None) of the table for one deployment size."""
    members = size["entries"] + size["upstreams"]
    flows_each = size["flows"] / size["upstreams"]
    table_bytes = evaluate(lines["table_bytes_by_services"], size["services"])
    control_heap = evaluate(lines["control_heap_bytes_by_members"], members)
    change_us = evaluate(lines["table_change_us_by_services"], size["services"])
    changes = size["table_changes_a_day"]
    is_target = size is TARGET
    entry_memory = figures["entry_resident_mb"] + (table_bytes + control_heap) / 1e6
    sidecar_members = size["entries"] + size["upstreams"] / size["services"]
    sidecar_memory = (figures["sidecar_resident_mb"]
                      + (flows_each * figures["bytes_per_flow"]
                         + evaluate(lines["control_heap_bytes_by_members"], sidecar_members)) / 1e6)
    return [
        ("entry instance", "tables", table_bytes / 1e6, "MB", 16),
        ("entry instance", "members it knows", control_heap / 1e6, "MB", None),
        ("entry instance", "memory", entry_memory, "MB", BUDGET["memory"]),
        ("entry instance", "rebuilding tables", 100 * changes * change_us / 1e6 / SECONDS_A_DAY, "% of a core", 1),
        ("entry instance", "new flows", size["new_flows"] / size["entries"], "a second", None),
        ("entry instance", "packets one core forwards", figures["entry_packets_per_s"], "a second", None),
        ("sidecar", "open flows", flows_each, "flows", None),
        ("sidecar", "flow table", flows_each * figures["bytes_per_flow"] / 1e6, "MB", None),
        ("sidecar", "memory", sidecar_memory, "MB", BUDGET["memory"]),
        ("sidecar", "new flows", size["new_flows"] / size["upstreams"], "a second", None),
        ("sidecar", "load reports", figures["load_report_bytes_cap"], "bytes/s", BUDGET["bytes"]),
        ("mean process", "control messages",
         figures["target_zone_mean_bytes"] if is_target else evaluate(lines["control_bytes_by_members"], members),
         "bytes/s", BUDGET["bytes"]),
        ("busiest relay or watcher", "control messages",
         figures["target_zone_busiest_bytes"] if is_target
         else evaluate(lines["control_busiest_bytes_by_members"], members),
         "bytes/s", BUDGET["bytes"]),
        ("busiest relay or watcher", "control processor time",
         100 * (figures["target_zone_busiest_cpu"] if is_target
                else evaluate(lines["control_busiest_cpu_by_members"], members)), "% of a core", BUDGET["cpu"]),
        ("table writer", "tables written", changes / SECONDS_A_DAY, "a second", None),
        ("object API", "calls of all processes", evaluate(lines["store_calls_by_members"], members), "a second",
         BUDGET["calls"]),
        ("object API", "largest table", figures["table_object_bytes"] / 1e6, "MB", 1),
    ]


def sizes_table(lines, figures):
    rows = ["| role | what | today | target | unit | budget at target |", "|---|---|---|---|---|---|"]
    for today, target in zip(size_rows(TODAY, lines, figures), size_rows(TARGET, lines, figures)):
        role, what, value, unit, budget = target
        verdict = "-" if budget is None else f"{format_number(budget)}: {budget_verdict(value, budget)}"
        rows.append(f"| {role} | {what} | {format_number(today[2])} | {format_number(value)} | {unit} | {verdict} |")
    return rows


def bad_days_table(lines, figures):
    change_us = evaluate(lines["table_change_us_by_services"], TARGET["services"])
    heartbeat = figures["target_zone_mean_bytes"]
    zone = TARGET["upstreams"] / TARGET["zones"]
    entries = TARGET["entries"]
    rows = ["| event | what it costs | figure |", "|---|---|---|"]
    rows.append(f"| a rack of 40 instances fails | tables written and rebuilt at each entry instance | 40 tables, "
                f"{40 * change_us / 1e3:.1f} ms of a core |")
    rows.append(f"| an availability zone fails | at most one table a service, rebuilt at each entry instance | "
                f"{TARGET['services']} tables, {TARGET['services'] * change_us / 1e6:.2f} s of a core; "
                f"{zone:.0f} upstreams, {TARGET['flows'] / TARGET['zones'] / 1e6:.1f} million flows end |")
    rows.append(f"| the same | snapshot of all tables to a process that joins | "
                f"{figures['table_object_bytes'] * TARGET['services'] / 1e6:.1f} MB, at 23 KB/s "
                f"{figures['table_object_bytes'] * TARGET['services'] / BUDGET['bytes']:.0f} s: "
                f"**exceeds the budget while it lasts** |")
    rows.append(f"| rolling upgrade of {entries} entry instances in an hour | snapshots of tables over all relays | "
                f"{entries * figures['table_object_bytes'] * TARGET['services'] / 3600 / entries:,.0f} bytes/s a "
                f"process on average |")
    rows.append(f"| regions apart for an hour | each goes on at its own control traffic | {heartbeat:,.0f} bytes/s a "
                f"process |")
    rows.append(f"| object API down for an hour, then back | calls that return at once without the jitter of 30 s | "
                f"{10 * TARGET['zones'] / 30:.1f} a second of watchers with it |")
    return rows


def render():
    series, figures, commands = load()
    lines = {name: fit(points) for name, points in series.items()}
    parts = ["## Measured slopes", "", *slopes_table(series, lines, commands), "",
             "## Measured figures", "", *figures_table(figures, commands), "",
             "## Sizes", "", *sizes_table(lines, figures), "",
             "## Bad days at target size", "", *bad_days_table(lines, figures), ""]
    return "\n".join(parts) + "\n"


def main():
    text = PAGE.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    updated = head + BEGIN + render() + END + tail
    if "--check" in sys.argv[1:]:
        if updated != text:
            print("docs/CAPACITY.md does not match bench/data/points.jsonl; run scripts/capacity.py")
            return 1
        print("docs/CAPACITY.md matches the measurements")
        return 0
    PAGE.write_text(updated)
    return 0


if __name__ == "__main__":
    sys.exit(main())

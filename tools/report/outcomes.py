"""usage: python3 -m tools.report.outcomes CONFIGURATION LOG...

Reads the hosts' logs of a day and prints, for each kind of request (route) and
team, how many were refused and why, served late and because of what, or not
begun by their deadline. CONFIGURATION is the published one, as JSON: the
targets of its routes tell a late first event from a late event gap. LOG is a
file of `caperjunction route`; - reads standard input.
"""

import collections
import json
import pathlib
import re
import sys

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Defaults of routes that state no target.
FIRST_EVENT_MS, NO_LIMIT = 1000, 0
COLUMNS = ("sent", "refused", "late_first", "late_gap", "not_begun", "failed", "left")


def parse(line):
    return {key: value.strip('"') for key, value in FIELD.findall(line)}


def read_targets(configuration):
    """{route: (first event, longest event gap)} in milliseconds."""
    return {route.get("name", ""): (route.get("target_latency_ms", FIRST_EVENT_MS), route.get("gap_aim_ms", NO_LIMIT))
            for route in configuration.get("routes", [])}


def is_not_begun(fields):
    return fields.get("reason") == "timed_out" and fields.get("first_byte_ms") == "-1"


def result_of(fields, targets):
    """The column that a request counts in beside `sent`; None: it was served on time. A stream that is late both ways
    counts by its first event."""
    outcome = fields.get("outcome")
    if outcome == "refused":
        return "refused"
    if outcome == "left":
        return "left"
    if is_not_begun(fields):
        return "not_begun"
    if outcome != "served":
        return "failed"
    if fields.get("on_time") == "true":
        return None
    first, gap = targets.get(fields.get("route"), (FIRST_EVENT_MS, NO_LIMIT))
    is_gap = gap != NO_LIMIT and int(fields.get("first_byte_ms", "-1")) <= first
    return "late_gap" if is_gap else "late_first"


class Row:
    def __init__(self):
        self.counts = collections.Counter()
        self.reasons = collections.Counter()

    def add(self, fields, targets):
        self.counts["sent"] += 1
        result = result_of(fields, targets)
        if result is not None:
            self.counts[result] += 1
        if result == "refused":
            share = fields.get("share", "")
            self.reasons[fields["reason"] + (f"/{share}" if share else "")] += 1

    def cells(self):
        reasons = ",".join(f"{reason}={count}" for reason, count in self.reasons.most_common())
        return [str(self.counts[column]) for column in COLUMNS] + [reasons or "-"]


def read_rows(lines, targets):
    """{(route, team): Row} of all requests that ended."""
    rows = collections.defaultdict(Row)
    for line in lines:
        if "event=request_ended " in line:
            fields = parse(line)
            rows[fields.get("route") or "-", fields.get("team") or "-"].add(fields, targets)
    return rows


def table(rows):
    """Aligned lines; within a route, the teams with the largest part that was not served on time come first."""
    def order(item):
        (route, _), row = item
        missed = sum(row.counts[column] for column in COLUMNS if column not in ("sent", "left"))
        return route, -missed / row.counts["sent"]

    cells = [["route", "team", *COLUMNS, "refused_by"]]
    cells += [[*key, *row.cells()] for key, row in sorted(rows.items(), key=order)]
    widths = [max(len(line[n]) for line in cells) for n in range(len(cells[0]))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip() for line in cells]


def read_lines(names):
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        with open(name, encoding="utf-8", errors="replace") as log:
            yield from log


def main(arguments):
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    targets = read_targets(json.loads(pathlib.Path(arguments[0]).read_text(encoding="utf-8")))
    print("\n".join(table(read_rows(read_lines(arguments[1:]), targets))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

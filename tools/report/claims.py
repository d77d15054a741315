"""claims_explorer: findings in all histories that the faults allow."""

from . import page

FAILURES = ("runs_twice", "false_not_run", "stuck")


def row(name, profile):
    cells = [page.Cell(profile[failure], "bad" if profile[failure] else "good")
             for failure in FAILURES]
    coverage = "all histories" if profile.get("exhaustive") else "a part"
    return [name, f"{profile['states']:,}", *cells, coverage]


def render(data):
    profiles = data.get("profiles", {})
    rows = [row(name, profile) for name, profile in profiles.items()]
    rows.append(row("all profiles", data))
    head = ["faults allowed", "states", "ran twice", "false not-run", "stuck",
            "followed"]
    note = ("Histories of calls that may not be repeated, followed state by "
            "state under crashes, pauses, stops and changing lists.")
    return page.section("At most once", note, page.table(head, rows))

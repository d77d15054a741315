"""relay_bench: figures of one machine beside their reach."""

from . import chart, page

# The reach of relay_bench: (least, greatest), either may be open.
REACH = {
    "added_first_token_p50_ms": (None, 0.3),
    "added_first_token_p99_ms": (None, 2.0),
    "events_per_s_per_core": (100_000, None),
    "cpu_share_at_9000_events": (None, 0.15),
    "rss_mb_at_2000_streams": (None, 256),
    "lost": (None, 0),
    "duplicated": (None, 0),
}


def flatten(data, path=""):
    """Every number of a JSON value with its path."""
    if isinstance(data, bool):
        return
    if isinstance(data, (int, float)):
        yield path, data
    elif isinstance(data, dict):
        for name, value in data.items():
            yield from flatten(value, f"{path}.{name}" if path else name)
    elif isinstance(data, list):
        for place, value in enumerate(data):
            name = value.get("name", place) if isinstance(value, dict) else place
            yield from flatten(value, f"{path}[{name}]")


def reach_text(reach):
    least, greatest = reach
    if least is not None:
        return f"at least {chart.short(least)}"
    return f"at most {chart.short(greatest)}"


def within(value, reach):
    least, greatest = reach
    return ((least is None or value >= least)
            and (greatest is None or value <= greatest))


def rows_of(data):
    for name, value in flatten(data):
        reach = REACH.get(name)
        if reach is None:
            yield [name, chart.short(value), ""]
        else:
            verdict = "good" if within(value, reach) else "bad"
            yield [name, page.Cell(chart.short(value), verdict),
                   reach_text(reach)]


def render(data):
    note = ("The router against the same stand-in asked directly, in one run "
            "on one machine; depends on the machine and its load.")
    return page.section("Relaying", note, page.table(
        ["figure", "measured", "reach"], rows_of(data)))

"""relay_bench: figures of one machine and their target ranges."""

from . import chart, page

# Target ranges as (minimum, maximum); None: unbounded.
TARGETS = {
    "added_first_token_p50_ms": (None, 0.3),
    "added_first_token_p99_ms": (None, 2.0),
    "events_per_s_per_core": (100_000, None),
    "cpu_share_at_9000_events": (None, 0.15),
    "rss_mb_at_2000_streams": (None, 256),
    "lost": (None, 0),
    "duplicated": (None, 0),
}


def flatten(data, path=""):
    """Yields (path, number) for every number in a JSON value."""
    if isinstance(data, bool):
        return
    if isinstance(data, (int, float)):
        yield path, data
    elif isinstance(data, dict):
        for name, value in data.items():
            yield from flatten(value, f"{path}.{name}" if path else name)
    elif isinstance(data, list):
        for i, value in enumerate(data):
            name = value.get("name", i) if isinstance(value, dict) else i
            yield from flatten(value, f"{path}[{name}]")


def target_text(target):
    minimum, maximum = target
    if minimum is not None:
        return f"at least {chart.short(minimum)}"
    return f"at most {chart.short(maximum)}"


def is_within(value, target):
    minimum, maximum = target
    return ((minimum is None or value >= minimum)
            and (maximum is None or value <= maximum))


def rows_of(data):
    for name, value in flatten(data):
        target = TARGETS.get(name)
        if target is None:
            yield [name, chart.short(value), ""]
        else:
            verdict = "good" if is_within(value, target) else "bad"
            yield [name, page.Cell(chart.short(value), verdict),
                   target_text(target)]


def render(data):
    note = ("The router compared with direct requests to the stand-in, in one "
            "run on one machine; depends on the machine and its load.")
    return page.section("Relaying", note, page.table(
        ["figure", "measured", "reach"], rows_of(data)))

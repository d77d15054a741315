"""core_bench, booking_bench: processor times, and how they grow."""

from . import chart, page
from .slope import slope

# Fewer points than this are told in the table, not drawn.
LEAST_POINTS = 3
NS_PER_UNIT = {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}


def read(data):
    """(function, {dimension: count}, ns) of each benchmark, whose names are
    such as one_decision/engines:12/queued:0, or booking/7."""
    for entry in data["benchmarks"]:
        function, *parts = entry["name"].split("/")
        pairs = [part.split(":") if ":" in part else ("size", part)
                 for part in parts if not part.startswith("iterations:")]
        yield (function, {name: int(count) for name, count in pairs},
               entry["cpu_time"] * NS_PER_UNIT[entry["time_unit"]])


def curves(rows, dimension):
    """{function: {the other dimensions: [(count, ns)]}} along one of them."""
    found = {}
    for function, counts, value in rows:
        if counts.get(dimension, 0) <= 0:
            continue
        others = ", ".join(f"{name} {count:,}"
                           for name, count in counts.items()
                           if name != dimension) or function
        found.setdefault(function, {}).setdefault(others, []).append(
            (counts[dimension], value))
    drawn = {}
    for function, series in found.items():
        long = {name: pairs for name, pairs in series.items()
                if len({count for count, _ in pairs}) >= LEAST_POINTS}
        if long:
            drawn[function] = long
    return drawn


def dimensions(rows):
    return list(dict.fromkeys(name for _, counts, _ in rows
                              for name in counts))


def render_decisions(data):
    return render(data, "Cost of a decision")


def render_bookings(data):
    return render(data, "Cost of a booking")


def render(data, title):
    rows = list(read(data))
    pictures, slopes = [], []
    for dimension in dimensions(rows):
        for function, series in curves(rows, dimension).items():
            picture = chart.lines(f"{function} over {dimension}", "ns",
                                  series, dimension)
            pictures.append(f"<div>{picture}{chart.legend(series)}</div>")
            for name, pairs in series.items():
                slopes.append([function, dimension, name,
                               f"{slope(pairs):.2f}"])
    every = [[function, *[f"{name} {count:,}" for name, count
                          in counts.items()], chart.short(value)]
             for function, counts, value in rows]
    widest = max((len(row) for row in every), default=2) - 2
    head = ["function", *["at"] * widest, "ns"]
    load = data.get("context", {}).get("load_avg", [])
    note = ("Processor time on one core of this machine, by logarithm on both "
            "axes. Load average at the run: "
            f"{', '.join(map(chart.short, load)) or 'not told'}.")
    content = f'<div class="grid">{"".join(pictures)}</div>'
    if slopes:
        content += page.table(["function", "grows with", "at", "exponent"],
                              slopes)
    content += page.fold("All figures", page.table(head, every))
    return page.section(title, note, content)

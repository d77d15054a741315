"""core_bench, booking_bench: processor times and their growth."""

from . import chart, page
from .slope import slope

# Series with fewer points appear only in the table.
MIN_POINTS = 3
NS_PER_UNIT = {"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9}


def read(data):
    """Yields (function, {dimension: count}, ns) of each benchmark. Names of
    benchmarks are for example one_decision/engines:12/queued:0 or booking/7."""
    for entry in data["benchmarks"]:
        function, *parts = entry["name"].split("/")
        pairs = [part.split(":") if ":" in part else ("size", part)
                 for part in parts if not part.startswith("iterations:")]
        yield (function, {name: int(count) for name, count in pairs},
               entry["cpu_time"] * NS_PER_UNIT[entry["time_unit"]])


def curves(rows, dimension):
    """Returns {function: {other dimensions: [(count, ns)]}} along one."""
    grouped = {}
    for function, counts, value in rows:
        if counts.get(dimension, 0) <= 0:
            continue
        others = ", ".join(f"{name} {count:,}"
                           for name, count in counts.items()
                           if name != dimension) or function
        grouped.setdefault(function, {}).setdefault(others, []).append(
            (counts[dimension], value))
    drawn = {}
    for function, series in grouped.items():
        long_enough = {name: pairs for name, pairs in series.items()
                       if len({count for count, _ in pairs}) >= MIN_POINTS}
        if long_enough:
            drawn[function] = long_enough
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
    charts, slopes = [], []
    for dimension in dimensions(rows):
        for function, series in curves(rows, dimension).items():
            svg = chart.lines(f"{function} over {dimension}", "ns",
                                  series, dimension)
            charts.append(f"<div>{svg}{chart.legend(series)}</div>")
            for name, pairs in series.items():
                slopes.append([function, dimension, name,
                               f"{slope(pairs):.2f}"])
    all_rows = [[function, *[f"{name} {count:,}" for name, count
                             in counts.items()], chart.short(value)]
                for function, counts, value in rows]
    widest = max((len(row) for row in all_rows), default=2) - 2
    head = ["function", *["at"] * widest, "ns"]
    load = data.get("context", {}).get("load_avg", [])
    note = ("Processor time on one core of this machine, on logarithmic axes. "
            "Load average at the run: "
            f"{', '.join(map(chart.short, load)) or 'unknown'}.")
    content = f'<div class="grid">{"".join(charts)}</div>'
    if slopes:
        content += page.table(["function", "grows with", "at", "exponent"],
                              slopes)
    content += page.fold("All figures", page.table(head, all_rows))
    return page.section(title, note, content)

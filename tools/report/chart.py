"""Bar charts and line charts as SVG text, without a library."""

import math
from html import escape

COLOURS = ["#1f5fa8", "#a3a8ae", "#d98b2b", "#5b9a68", "#8b5aa8", "#b5483f"]
LEFT, RIGHT, TOP, BOTTOM = 52, 12, 30, 46
AXIS_STEPS = 4


def text(x, y, words, anchor="middle", size=11, extra=""):
    return (f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" '
            f'font-size="{size}" {extra}>{escape(str(words))}</text>')


def line(x1, y1, x2, y2, colour="#d5d8dc", width=1.0):
    return (f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
            f'stroke="{colour}" stroke-width="{width}"/>')


def short(number):
    """Formats a number for an axis or a cell with three or more significant
    digits; numbers below 0.01 get two."""
    if number == 0:
        return "0"
    if abs(number) >= 1_000_000:
        return f"{number / 1e6:,.4g} M"
    if abs(number) >= 1000:
        return f"{number:,.0f}"
    if abs(number) >= 0.01:
        return f"{number:.3g}"
    return f"{number:.1e}"


def axis_maximum(value):
    """Returns the smallest of 1, 2, 2.5, 4, 5 times a power of ten that is
    not below value."""
    if value <= 0:
        return 1.0
    power = 10 ** math.floor(math.log10(value))
    for step in (1, 2, 2.5, 4, 5, 10):
        if value <= step * power * (1 + 1e-9):
            return step * power
    return value


class Scale:
    """Maps values to coordinates, linearly or logarithmically."""

    def __init__(self, low, high, top, bottom, log=False):
        self.low, self.high, self.log = low, high, log
        self.top, self.bottom = top, bottom

    def position(self, value):
        if self.log:
            value = max(value, self.low)
            share = (math.log(value / self.low)
                     / math.log(self.high / self.low))
        else:
            share = (value - self.low) / (self.high - self.low)
        return self.bottom - min(max(share, 0), 1) * (self.bottom - self.top)

    def ticks(self):
        if not self.log:
            return [self.low + (self.high - self.low) * step / AXIS_STEPS
                    for step in range(AXIS_STEPS + 1)]
        first = math.ceil(math.log10(self.low) - 1e-9)
        last = math.floor(math.log10(self.high) + 1e-9)
        return [10.0 ** power for power in range(first, last + 1)]


class NinesScale(Scale):
    """Maps ratios from 0 to 1 by the logarithm of their difference to 1, so
    that 0.99 and 0.999 are as far apart as 0.9 and 0.99. All ratios above
    0.999 are at the top.
    """

    MIN_DIFFERENCE = 0.001

    def __init__(self, top, bottom):
        super().__init__(0, 1, top, bottom)

    def position(self, value):
        difference = max(1 - value, self.MIN_DIFFERENCE)
        share = math.log(difference) / math.log(self.MIN_DIFFERENCE)
        return self.bottom - share * (self.bottom - self.top)

    def ticks(self):
        return [0, 0.5, 0.9, 0.99, 0.999]


def log_scale(values, top, bottom):
    positive = [value for value in values if value > 0] or [1.0]
    low = 10 ** math.floor(math.log10(min(positive)))
    high = 10 ** math.ceil(math.log10(max(positive)))
    return Scale(low, max(high, low * 10), top, bottom, log=True)


def frame(width, height, title, scale):
    parts = [f'<svg viewBox="0 0 {width} {height}" width="{width}" '
             f'height="{height}" role="img" aria-label="{escape(title)}">',
             text(LEFT, 16, title, "start", 12, 'font-weight="600"')]
    for tick in scale.ticks():
        y = scale.position(tick)
        parts.append(line(LEFT, y, width - RIGHT, y))
        parts.append(text(LEFT - 6, y + 4, short(tick), "end", 10))
    return parts


def bars(title, groups, series, values, marks=None, width=540, height=230,
         log=False, nines=False):
    """Grouped bars of mean values, with whiskers from minimum to maximum.

    values[(group, name)] is a list with one value for each run. marks[group]
    is drawn as a line across the group.
    """
    all_values = [value for run in values.values() for value in run]
    bottom = height - BOTTOM
    if log:
        scale = log_scale(all_values, TOP, bottom)
    elif nines:
        scale = NinesScale(TOP, bottom)
    else:
        scale = Scale(0, axis_maximum(max(all_values, default=1)), TOP, bottom)
    parts = frame(width, height, title, scale)
    group_width = (width - LEFT - RIGHT) / max(len(groups), 1)
    bar = group_width * 0.8 / max(len(series), 1)
    for index, group in enumerate(groups):
        begin = LEFT + group_width * index + group_width * 0.1
        for position, name in enumerate(series):
            run = values.get((group, name))
            if run:
                parts += bar_with_whisker(
                    begin + bar * position, bar, run, scale,
                    COLOURS[position % len(COLOURS)], f"{group}, {name}")
        if marks and group in marks:
            y = scale.position(marks[group])
            parts.append(line(begin - 3, y, begin + group_width * 0.8 + 3, y,
                              "#111", 1.6))
        parts.append(label(begin + group_width * 0.4, bottom + 15, group,
                           group_width))
    parts.append(line(LEFT, bottom, width - RIGHT, bottom, "#555"))
    parts.append("</svg>")
    return "".join(parts)


def bar_with_whisker(x, width, run, scale, colour, name):
    mean = sum(run) / len(run)
    y, floor = scale.position(mean), scale.bottom
    middle = x + width / 2
    tip = escape(f"{name}: {short(mean)} "
                 f"({short(min(run))} to {short(max(run))})")
    parts = [f'<rect x="{x + 0.5:.1f}" y="{y:.1f}" width="{width - 1:.1f}" '
             f'height="{max(floor - y, 0.5):.1f}" fill="{colour}">'
             f'<title>{tip}</title></rect>']
    if max(run) > min(run):
        parts.append(line(middle, scale.position(min(run)), middle,
                          scale.position(max(run)), "#333"))
    return parts


def label(x, y, words, group_width):
    """A group's name below the axis, on two lines if it is long."""
    size = 10
    names = str(words).replace("_", " ").split(" ")
    if len(names) > 1 and len(str(words)) * size * 0.55 > group_width:
        half = (len(names) + 1) // 2
        return (text(x, y, " ".join(names[:half]), size=size)
                + text(x, y + 12, " ".join(names[half:]), size=size))
    return text(x, y, " ".join(names), size=size)


def lines(title, unit, series, axis="hosts", width=540, height=250):
    """Values over a count, both on logarithmic axes. series[name] is a list
    of (count, value) pairs."""
    points = [pair for pairs in series.values() for pair in pairs]
    counts = sorted({count for count, _ in points})
    if len(counts) < 2:
        raise ValueError(f"{title}: a curve needs two counts")
    scale = log_scale([value for _, value in points], TOP, height - BOTTOM)
    parts = frame(width, height, f"{title} ({unit})", scale)
    x_scale = Scale(counts[0], counts[-1], width - RIGHT - 12, LEFT + 12,
                    log=True)
    for count in counts:
        parts.append(text(x_scale.position(count), height - BOTTOM + 15,
                          f"{count:,}"))
    parts.append(text((LEFT + width) / 2, height - 12, axis, size=10))
    for position, (name, pairs) in enumerate(series.items()):
        colour = COLOURS[position % len(COLOURS)]
        path = " ".join(f"{x_scale.position(c):.1f},{scale.position(v):.1f}"
                        for c, v in sorted(pairs))
        parts.append(f'<polyline points="{path}" fill="none" '
                     f'stroke="{colour}" stroke-width="2"/>')
        for count, value in pairs:
            tip = escape(f"{name}, {count:,} {axis}: {short(value)} {unit}")
            parts.append(f'<circle cx="{x_scale.position(count):.1f}" '
                         f'cy="{scale.position(value):.1f}" r="3.5" '
                         f'fill="{colour}"><title>{tip}</title></circle>')
    parts.append("</svg>")
    return "".join(parts)


def legend(names, mark=None):
    items = [f'<span><i style="background:{COLOURS[position % len(COLOURS)]}">'
             f'</i>{escape(str(name))}</span>'
             for position, name in enumerate(names)]
    if mark:
        items.append(f'<span><b class="mark"></b>{escape(mark)}</span>')
    return f'<p class="legend">{"".join(items)}</p>'

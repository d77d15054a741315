"""fleet_bench: growth of detection time, propagation and load with the number
of hosts."""

import re

from . import chart, page
from .slope import slope

TARGET_HOSTS = 400


def shorten_numbers(setting):
    """Rounds the numbers in a setting's name to their significant digits."""
    return re.sub(r"\d+\.\d{3,}",
                  lambda match: chart.short(float(match.group())), setting)


def group(rows):
    """Returns {(scenario, name, unit): {setting: [(hosts, value)]}}."""
    groups = {}
    for row in rows:
        key = (row["scenario"], row["name"], row["unit"])
        settings = groups.setdefault(key, {})
        settings.setdefault(shorten_numbers(row["setting"]), []).append(
            (row["hosts"], row["value"]))
    return groups


def is_curve(settings):
    return any(len({hosts for hosts, _ in pairs}) > 1
               for pairs in settings.values())


def curve(key, settings):
    scenario, name, unit = key
    shown = {setting: pairs for setting, pairs in settings.items()
             if any(value > 0 for _, value in pairs)}
    if not shown:
        return ""
    svg = chart.lines(f"{scenario}: {name}", unit, shown)
    return f"<div>{svg}{chart.legend(shown)}</div>"


def slope_rows(curves):
    rows = []
    for (scenario, name, unit), settings in curves.items():
        for setting, pairs in settings.items():
            exponent = slope(pairs)
            if exponent is None:
                continue
            hosts, value = max(pairs)
            extrapolated = value * (TARGET_HOSTS / hosts) ** exponent
            rows.append([scenario, name, setting, unit,
                         *[chart.short(v) for _, v in sorted(pairs)],
                         f"{exponent:.2f}", chart.short(extrapolated)])
    return rows


def render(rows):
    groups = group(rows)
    curves = {key: value for key, value in groups.items() if is_curve(value)}
    single = [[scenario, name, setting, hosts, chart.short(value), unit]
              for (scenario, name, unit), settings in groups.items()
              if (scenario, name, unit) not in curves
              for setting, pairs in settings.items()
              for hosts, value in pairs]
    sizes = sorted({hosts for settings in curves.values()
                    for pairs in settings.values() for hosts, _ in pairs})
    content = '<div class="grid">'
    content += "".join(curve(key, value) for key, value in curves.items())
    content += "</div>"
    if curves:
        head = ["scenario", "figure", "setting", "unit",
                *[f"{size} hosts" for size in sizes], "exponent",
                f"{TARGET_HOSTS} hosts, extrapolated"]
        content += page.fold("Slopes: growth exponents by number of hosts",
                             page.table(head, slope_rows(curves)))
    content += page.fold("Figures measured at one fleet size", page.table(
        ["scenario", "figure", "setting", "hosts", "value", "unit"], single))
    note = ("Virtual time, except processor times. An exponent of 0 means "
            "that the figure does not grow with the fleet, 1 that it grows "
            "in proportion. The last column is an extrapolation, not a run.")
    return page.section("The fleet", note, content)

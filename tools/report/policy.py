"""policy_bench: attainment, goodput, wasted work and waits by policy."""

from . import chart, page


def unique(values):
    return list(dict.fromkeys(values))


def verdict(low, promised, fits):
    if low >= promised:
        return "good"
    return "bad" if fits else ""


def class_values(runs, measure):
    values = {}
    for run in runs:
        for entry in run["classes"]:
            key = (entry["name"], run["policy"])
            values.setdefault(key, []).append(entry[measure])
    return values


def attainment(runs, scenario, policies):
    selected = [run for run in runs if run["scenario"] == scenario]
    classes = selected[0]["classes"]
    return chart.bars(f"{scenario}: attainment by class",
                      [entry["name"] for entry in classes], policies,
                      class_values(selected, "attainment"),
                      {entry["name"]: entry["promised"] for entry in classes},
                      nines=True)


def by_scenario(runs, measure):
    values = {}
    for run in runs:
        key = (run["scenario"], run["policy"])
        values.setdefault(key, []).append(measure(run))
    return values


def longest_wait(run):
    return max(entry["max_wait_s"] for entry in run["classes"])


def summary(runs, scenarios, policies, title, measure, **options):
    return chart.bars(title, scenarios, policies, by_scenario(runs, measure),
                      width=1100, height=240, **options)


def details(runs, scenarios, policies):
    names = [entry["name"] for entry in runs[0]["classes"]]
    rows = []
    for scenario in scenarios:
        for policy in policies:
            selected = [run for run in runs if run["scenario"] == scenario
                        and run["policy"] == policy]
            if selected:
                rows.append(detail_row(scenario, policy, selected))
    head = ["scenario", "policy", *names, "goodput", "wasted",
            "cross-region MB", "longest wait s", "violations"]
    return page.table(head, rows)


def detail_row(scenario, policy, runs):
    cells = []
    for index, entry in enumerate(runs[0]["classes"]):
        same = [run["classes"][index] for run in runs]
        low = min(item["attainment"] for item in same)
        fits = all(item.get("fits_share", True) for item in same)
        cells.append(page.Cell(f"{low:.4f}" if fits else f"({low:.4f})",
                               verdict(low, entry["promised"], fits)))
    violations = sum(len(run["violations"]) for run in runs)
    return [scenario, policy, *cells,
            f"{min(run['goodput_ratio'] for run in runs):.3f}",
            f"{max(run['wasted_ratio'] for run in runs):.4f}",
            f"{max(run['cross_region_bytes'] for run in runs) / 1e6:.1f}",
            f"{max(longest_wait(run) for run in runs):.2f}",
            page.Cell(violations, "bad" if violations else "good")]


def deployment(name, runs):
    scenarios = unique(run["scenario"] for run in runs)
    policies = unique(run["policy"] for run in runs)
    panels = "".join(attainment(runs, scenario, policies)
                     for scenario in scenarios)
    charts = [
        summary(runs, scenarios, policies, "goodput (higher is better)",
                lambda run: run["goodput_ratio"]),
        summary(runs, scenarios, policies,
                "wasted work: share of computed tokens (lower is better)",
                lambda run: run["wasted_ratio"]),
        summary(runs, scenarios, policies,
                "longest wait of any class, s (logarithmic)",
                longest_wait, log=True)]
    return (f"<h3>{name}</h3>" + chart.legend(policies, "promise")
            + f'<div class="grid">{panels}</div>' + "".join(charts)
            + page.fold("Figures, each the worst of its seeds; a class in "
                        "brackets receives more load than its tier's share",
                        details(runs, scenarios, policies)))


def render(data):
    runs = data if isinstance(data, list) else [data]
    seeds = unique(run["seed"] for run in runs)
    note = ("Virtual time. Bars are means over the seeds "
            f"{', '.join(map(str, seeds))}, whiskers show minimum and "
            "maximum. A promise is kept where the bar reaches the black line. "
            "Attainment is drawn by the logarithm of its difference to 1.")
    names = unique(run["deployment"] for run in runs)
    parts = [deployment(name, [run for run in runs
                               if run["deployment"] == name])
             for name in names]
    return page.section("Decisions under load", note, "".join(parts))

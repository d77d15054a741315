"""usage: python3 -m tools.report PAGE.html SOURCE FOLDER

Reads FOLDER/<bench>.json of each benchmark that was run and writes one page.
SOURCE is a line that states what was measured and where.
"""

import json
import pathlib
import sys

from . import claims, core, fleet, page, policy, relay

BENCHMARKS = {
    "policy_bench": policy.render,
    "relay_bench": relay.render,
    "core_bench": core.render_decisions,
    "booking_bench": core.render_bookings,
    "fleet_bench": fleet.render,
    "claims_explorer": claims.render,
}


def main(arguments):
    if len(arguments) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    target, source, folder = arguments
    sections, missing = [], []
    for name, render in BENCHMARKS.items():
        file = pathlib.Path(folder) / f"{name}.json"
        if not file.exists():
            missing.append(name)
            continue
        sections.append(render(json.loads(file.read_text())))
    pathlib.Path(target).write_text(page.document(source, sections, missing))
    print(f"report: page={target} sections={len(sections)} "
          f"not_run={','.join(missing) or 'none'}")
    return 0


sys.exit(main(sys.argv[1:]))

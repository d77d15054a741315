"""A randomized fault soak of real hosts on loopback.

    python3 -m tools.soak --program build/bin/caperjunction --seeds 1..50

Each seed starts hosts as processes, harms them from outside, and checks the
promises from what callers were told and upstreams ran. A seed that finds
something keeps its logs."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from . import checks, faults
from .site import Site

# The first reads, and the end: what runs late still has to show.
LIMIT_SEED = 1_000_000
SETTLE_SECONDS = 1.5


async def inject(site, until, calm, draw):
    while time.monotonic() < until:
        await asyncio.sleep(site.random.uniform(0.1, 0.8 * calm))
        asyncio.ensure_future(draw(site))


async def limit_some(site, seed, until):
    """Upstreams name limits; drawn apart, so that a seed's other faults stay what they were."""
    rng = random.Random(seed + LIMIT_SEED)
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        await faults.engine_limited(site, rng)


def tell_failure(loop, context):
    """What is still being served when a run ends is cancelled, and no failure."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def play(seed, options, folder):
    asyncio.get_running_loop().set_exception_handler(tell_failure)
    site = Site(random.Random(seed), options.program, folder, options.hosts, options.engines, options.flag)
    try:
        await site.start()
        await asyncio.sleep(SETTLE_SECONDS)
        until = time.monotonic() + options.seconds
        # Some seeds are calm: checks that need quiet have something to see.
        work = [caller.run(until) for caller in site.callers(options.callers)]
        # In every third seed all that happens is planned.
        calm, draw = (1.0 + seed % 4, faults.draw) if seed % 3 else (1.0, faults.draw_planned)
        await asyncio.gather(inject(site, until - 1.0, calm, draw), limit_some(site, seed, until - 1.0), *work)
        await asyncio.sleep(SETTLE_SECONDS)
    finally:
        site.end()
    found = [f"{check.__name__}: {line}" for check in options.checks for line in check(site)]
    served = sum(t.status == 200 and t.whole for t in site.told)
    print(f"soak: seed={seed} requests={len(site.told)} served={served} runs={len(site.runs)} "
          f"harms={len(site.harms)} stops={len(site.stops)} findings={len(found)}", flush=True)
    for line in found[:10]:
        print(f"  {line}", flush=True)
    return found


def parse_seeds(text):
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main():
    # Told to stop, it ends the hosts that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/bin/caperjunction")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1..3"))
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--flag", action="append", default=[], help="given to each host")
    parser.add_argument("--known_red", dest="checks", action="store_const", default=checks.ALL,
                        const=checks.ALL + checks.KNOWN_RED, help="with the checks of KNOWN-RED.txt")
    parser.add_argument("--keep", default="soak-findings", help="where logs of findings go")
    options = parser.parse_args()
    options.program = os.path.abspath(options.program)
    failed = []
    for seed in options.seeds:
        folder = tempfile.mkdtemp(prefix="caperjunction-soak-")
        if asyncio.run(play(seed, options, folder)):
            failed.append(seed)
            shutil.copytree(folder, os.path.join(options.keep, f"seed-{seed}"), dirs_exist_ok=True)
        shutil.rmtree(folder)
    print(f"soak: seeds={len(options.seeds)} failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

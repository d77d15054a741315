"""Randomized fault injection against real hosts on loopback.

    python3 -m tools.soak --program build/bin/caperjunction --seeds 1..50

Each seed starts hosts as processes, injects faults from outside, and checks
the guarantees against what callers received and upstreams executed. The logs
of a seed with findings are kept."""

import argparse
import asyncio
import faulthandler
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback

from . import checks, faults
from . import store as stores
from .competition import Competition, has_competing_teams
from .site import Site

LIMIT_SEED_OFFSET = 1_000_000
LINK_SEED_OFFSET = 2_000_000
BRITTLE_SEED_ENGINES = 4
PART_SEED_ENGINES = 8
# Wait after the start, until the hosts have read the store, and at the end,
# so that late executions are still recorded.
SETTLE_SECONDS = 1.5
# How much longer than its time a seed may take.
MAX_SECONDS_BEYOND = 45.0


async def inject(site, until, interval, start_action):
    while time.monotonic() < until:
        await asyncio.sleep(site.random.uniform(0.1, 0.8 * interval))
        site.actions.append(asyncio.ensure_future(start_action(site)))


async def inject_limits(site, seed, until):
    """Makes upstreams advertise limits. Uses its own generator: sharing one changes all other faults of a seed."""
    rng = random.Random(seed + LIMIT_SEED_OFFSET)
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        await faults.limit_engine(site, rng)


async def inject_in_turn(site, seed, until, action):
    """Plays one fault after the other, from a generator of its own."""
    rng = random.Random(seed + LINK_SEED_OFFSET)
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        await action(site, rng)


def handle_loop_exception(loop, context):
    """Ignores cancellations: requests still in progress at the end of a run are cancelled."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def rollouts(site, seed, until):
    """Every fifth seed rolls out versions of the engines' software while hosts are killed."""
    if seed % 5:
        return []
    return [inject_in_turn(site, seed + 3, until - 3.0, faults.roll_out),
            inject_in_turn(site, seed + 4, until - 2.0, faults.kill_hosts)]


def drills(site, seed, until):
    """Two of five seeds have a store that comes back from copies."""
    return [inject_in_turn(site, seed + 5, until - 5.0, faults.drill_store)] if seed % 5 in (1, 2) else []


def has_crashing_parts(seed):
    """Every fifth seed has engines that crash at a part of prompts, beside prompts that share the rest."""
    return seed % 5 == 3


def parts(site, seed, until):
    if not has_crashing_parts(seed):
        return []
    faults.crash_at_part(site)
    return [caller.run(until) for caller in site.prompt_callers(6)]


def has_crashing_request(seed):
    """Every fifth seed has engines that crash at one request, which its caller repeats."""
    return seed % 5 == 4


def repeats(site, seed, until):
    if not has_crashing_request(seed):
        return []
    faults.crash_at_request(site)
    # In every other one, three hosts or fewer get it at the same moment.
    if seed % 10 == 4:
        return [site.repeating_caller(step=2.0).run(until) for _ in range(3)]
    return [site.repeating_caller().run(until)]


def settings_of(seed):
    """Half of the seeds let requests be withdrawn, and half of those with competing teams let prompts wait at hosts: seeds
    with lost links and seeds with brittle engines alike."""
    host_queue = ["--host_queue=true"] if has_competing_teams(seed) and seed % 4 < 2 else []
    return host_queue + (["--withdraw_unstarted=true"] if seed % 4 < 2 else [])


async def competition(site, seed):
    """Tasks of the teams that compete, to be called with the end of the run; see `Competition`."""
    if not has_competing_teams(seed):
        return lambda until: []
    load = Competition(site, seed)
    await load.start_engines()
    return lambda until: [
        *(caller.run(until) for caller in load.usual_callers()), load.burst(until - 1.0),
        inject_in_turn(site, seed + 6, until - 3.0, lambda site, rng: faults.fail_team_engines(site, rng, load.pairs))]


def clock_drills(site, options):
    """Leases of hosts whose clocks misbehave have to end while nothing renews them."""
    return [faults.revoke_out_of_touch(site)] if options.clock_faults else []


async def run_seed_in_time(seed, options, folder):
    """A seed that doesn't end is a failure of the soak: prints where its tasks wait."""
    run = asyncio.ensure_future(run_seed(seed, options, folder))
    limit = options.seconds + MAX_SECONDS_BEYOND
    # For a loop that hangs itself.
    faulthandler.dump_traceback_later(limit + MAX_SECONDS_BEYOND)
    await asyncio.wait({run}, timeout=limit)
    faulthandler.cancel_dump_traceback_later()
    if run.done():
        return run.result()
    for task in asyncio.all_tasks():
        task.print_stack(file=sys.stdout)
    run.cancel()
    await asyncio.wait({run}, timeout=MAX_SECONDS_BEYOND)
    raise TimeoutError(f"seed {seed} took more than {limit} s")


async def run_seed(seed, options, folder):
    asyncio.get_running_loop().set_exception_handler(handle_loop_exception)
    # Every second seed cuts hosts from all upstreams; the others have upstreams that bear few rejections, and more of
    # them, since limits apply too.
    more_faults = faults.partition_hosts if seed % 2 else faults.make_brittle
    engines = options.engines + (0 if seed % 2 else BRITTLE_SEED_ENGINES)
    engines += PART_SEED_ENGINES if has_crashing_parts(seed) or has_crashing_request(seed) else 0
    site = Site(random.Random(seed), options.program, folder, options.hosts, engines,
                [*settings_of(seed), *options.flag])
    if options.mostly_busy:
        site.store.busy_mode = stores.MOSTLY_BUSY
    if options.clock_faults:
        site.draw_clock_faults(random.Random(seed))
    try:
        await site.start()
        competing_teams = await competition(site, seed)
        await asyncio.sleep(SETTLE_SECONDS)
        until = time.monotonic() + options.seconds
        tasks = [caller.run(until) for caller in site.callers(options.callers)]
        # Some seeds have long intervals between faults, because several checks apply only to fault-free
        # periods. Every third seed has planned operations only.
        interval, action = (1.0 + seed % 4, faults.random_action) if seed % 3 else (1.0, faults.random_planned_action)
        await asyncio.gather(inject(site, until - 1.0, interval, action), inject_limits(site, seed, until - 1.0),
                             inject_in_turn(site, seed, until - 5.0, more_faults),
                             inject_in_turn(site, seed, until - 1.0, faults.silence_engine),
                             inject_in_turn(site, seed + 1, until - 6.0, faults.leave_unheard),
                             inject_in_turn(site, seed + 2, until - 2.0, faults.ask_for_pause),
                             *rollouts(site, seed, until), *parts(site, seed, until),
                             *repeats(site, seed, until),
                             *drills(site, seed, until), *clock_drills(site, options), *competing_teams(until), *tasks)
        await asyncio.sleep(SETTLE_SECONDS)
    finally:
        site.end()
    found = [f"{check.__name__}: {line}" for check in checks_of(seed, options) for line in check(site)]
    found += site.failed_actions()
    taken, went_on = checks.takeovers(site)
    served = sum(t.status == 200 and t.complete for t in site.requests)
    print(f"soak: seed={seed} requests={len(site.requests)} served={served} runs={len(site.runs)} "
          f"harms={len(site.fault_periods)} stops={len(site.stops)} taken_up={taken} went_on={went_on} "
          f"part_crashes={len(site.part_crashes)} request_crashes={len(site.request_crashes)} "
          f"{checks.team_summary(site)} {checks.host_log_summary(site)} findings={len(found)}", flush=True)
    for line in found[:10]:
        print(f"  {line}", flush=True)
    return found


def checks_of(seed, options):
    """The checks of a seed, without those that KNOWN-RED.txt lists for it."""
    if options.known_red:
        return checks.ALL + checks.KNOWN_RED
    return [check for check in checks.ALL if seed not in checks.KNOWN_RED_SEEDS.get(check, ())]


def play_seed(seed, options, folder):
    """Returns whether the seed has findings. One that an error of the soak itself has ended has judged nothing."""
    try:
        return asyncio.run(run_seed_in_time(seed, options, folder))
    except Exception as error:
        traceback.print_exc()
        print(f"soak: seed={seed} ended_by={error!r}", flush=True)
        return True


def parse_seeds(text):
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def main():
    # sys.exit runs the cleanup that ends the hosts of this run.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/bin/caperjunction")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1..3"))
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--flag", action="append", default=[], help="passed to each host")
    parser.add_argument("--known_red", action="store_true", help="include the checks listed in KNOWN-RED.txt")
    parser.add_argument("--mostly_busy", action="store_true",
                        help="a store that refuses calls serves one in twelve of them")
    parser.add_argument("--clock_faults", action="store_true",
                        help="the clocks of most hosts misbehave; --program has to be caperjunction_faulty_clock")
    parser.add_argument("--keep", default="soak-findings", help="folder for the logs of seeds with findings")
    options = parser.parse_args()
    options.program = os.path.abspath(options.program)
    failed = []
    for seed in options.seeds:
        folder = tempfile.mkdtemp(prefix="caperjunction-soak-")
        if play_seed(seed, options, folder):
            failed.append(seed)
            shutil.copytree(folder, os.path.join(options.keep, f"seed-{seed}"), dirs_exist_ok=True)
        shutil.rmtree(folder)
    print(f"soak: seeds={len(options.seeds)} failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

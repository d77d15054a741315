"""The faults of a run, selected by its seed. They follow each other and overlap."""

import asyncio
import signal

from . import engine as engines
from . import link as links
from . import proxy as proxies
from . import store as stores

# Time in which a fault has effects after its end: back-off of upstreams,
# retries, confirmations in flight.
RECOVERY_SECONDS = 4.0
# Time for which upstreams say that they are brittle before they are.
CONTACT_SECONDS = 3.0
# Time after which engines of the next version start.
ROLLOUT_SECONDS = 5.0
# Longer than keys are used without a confirmation, by enough for requests with them.
OUT_OF_TOUCH_SECONDS = 8.0
REVOKED_OUT_OF_TOUCH = 4
# Engines that leave in one run, so that enough stay.
MAX_LEAVING = 3


async def fail_store(site, mode, seconds):
    site.record_fault(seconds + RECOVERY_SECONDS)
    site.store.mode = mode
    await asyncio.sleep(seconds)
    site.store.mode = stores.OK


async def fail_host_path(site, mode, seconds):
    host = site.random.choice(site.hosts)
    path = site.random.choice([host.front, host.store_path])
    site.record_host_fault(host, seconds + CONTACT_SECONDS)
    site.record_fault(seconds + RECOVERY_SECONDS)
    path.mode = mode
    await asyncio.sleep(seconds)
    path.mode = proxies.PASS


async def fail_engine_path(site, mode, seconds):
    path = site.paths[site.random.choice(site.engines)]
    site.record_fault(seconds + RECOVERY_SECONDS)
    path.mode = mode
    await asyncio.sleep(seconds)
    path.mode = proxies.PASS


async def reset_connections(site):
    site.record_fault(RECOVERY_SECONDS)
    site.paths[site.random.choice(site.engines)].reset_all()
    site.random.choice(site.hosts).front.reset_all()


async def fail_engine(site, mode, seconds):
    engine = site.random.choice(site.engines)
    site.record_fault(seconds + RECOVERY_SECONDS)
    site.record_engine_fault(engine, seconds)
    engine.mode = mode
    await asyncio.sleep(seconds)
    engine.mode = engines.HEALTHY


async def crash_engine(site, seconds, engine=None):
    engine = engine or site.random.choice(site.engines)
    if engine.server is None:
        return
    # A crash among the teams' engines excuses nothing elsewhere.
    if engine in site.engines:
        site.record_fault(seconds + RECOVERY_SECONDS)
    site.record_engine_fault(engine, seconds)
    await engine.crash()
    await asyncio.gather(*(host.links[engine.name].set_target_up(False) for host in site.hosts))
    await asyncio.sleep(seconds)
    engine.incarnation += 1
    await engine.start()
    await asyncio.gather(*(host.links[engine.name].set_target_up(True) for host in site.hosts))
    site.register(engine)


async def drain_engine(site):
    candidates = [e for e in site.engines if e not in site.drained_at]
    if len(candidates) < 5:
        return
    engine = site.random.choice(candidates)
    await site.add_engine(engine.service)
    engine.is_leaving = True
    site.register(engine, "draining")
    site.drained_at[engine] = site.now()
    await asyncio.sleep(3.0)
    site.store.remove(f"servers/{engine.name}")


async def limit_engine(site, rng):
    """An engine advertises a limit in requests per second for 6 to 10 s."""
    # Only engines of the busy service: the others may receive no request for seconds.
    engine = rng.choice([e for e in site.engines if e.service == "s0"])
    engine.limit = rng.choice([0.2, 0.5, 1.0])
    seconds = rng.uniform(6.0, 10.0)
    site.limits.append((engine, engine.limit, site.now(), site.now() + seconds))
    await asyncio.sleep(seconds)
    engine.limit = None


async def partition_hosts(site, rng):
    """Some hosts lose their links to all upstreams for some seconds: one, most, or those of a data centre."""
    data_centre = rng.choice("abc")
    hosts = rng.choice([[rng.choice(site.hosts)], rng.sample(site.hosts, len(site.hosts) - 1),
                        [h for h in site.hosts if h.data_centre == data_centre]])
    state, seconds = rng.choice(links.CUTS), rng.uniform(5.0, 7.0)
    begin = site.now()
    site.partitions.append(([h.name for h in hosts], begin, begin + seconds + RECOVERY_SECONDS))
    await asyncio.gather(*(host.cut_links(state) for host in hosts))
    await asyncio.sleep(seconds)
    await asyncio.gather(*(host.cut_links(links.OPEN) for host in hosts))


async def make_brittle(site, rng):
    """The engines of the busy service crash for some seconds when they reject too many requests in one."""
    engines_of_service = [e for e in site.engines if e.service == "s0"]
    limit, seconds = rng.choice([1, 3, 6]), rng.uniform(5.0, 8.0)
    begin = site.now()
    site.brittle_times.append((engines_of_service, begin, begin + seconds))
    for engine in engines_of_service:
        engine.rejection_limit = limit
        engine.brittle_from = begin + CONTACT_SECONDS
        engine.on_crash = lambda crashed: crash_engine(site, engines.CRASH_SECONDS, crashed)
    await asyncio.sleep(seconds)
    for engine in engines_of_service:
        engine.rejection_limit = None


def crash_at_part(site):
    """Engines crash at a part of prompts, and are back after some seconds."""
    async def crash(engine):
        site.part_crashes.append(site.now())
        await crash_engine(site, engines.CRASH_SECONDS, engine)

    for engine in site.engines:
        engine.crashing_parts, engine.on_part_crash = (f"{site.guilty_part}:",), crash


def crash_at_request(site):
    """Engines crash at one request that its caller repeats, and are back after some seconds."""
    async def crash(engine):
        site.request_crashes.append(site.now())
        await crash_engine(site, engines.CRASH_SECONDS, engine)

    for engine in site.engines:
        engine.crashing_paths, engine.on_request_crash = (site.guilty_path,), crash


async def silence_engine(site, rng):
    """A sound engine stops for a second and goes on. That excuses nothing."""
    be_silent(site, rng.choice(site.engines), rng.uniform(0.5, 1.5))


def be_silent(site, engine, seconds):
    site.record_engine_fault(engine, seconds)
    engine.silent_until = site.now() + seconds


async def fail_team_engines(site, rng, pairs):
    """An engine of each service that teams compete for is silent, or crashes, for the same time."""
    pair, seconds = rng.choice(pairs), rng.uniform(0.5, 1.5)
    if rng.random() < 0.5:
        await asyncio.gather(*(crash_engine(site, seconds, engine) for engine in pair))
        return
    for engine in pair:
        be_silent(site, engine, seconds)


async def leave_unheard(site, rng):
    """An engine says in its answers that it leaves, and the store hears of it seconds later."""
    staying = [e for e in site.engines if e.service == "s0" and not e.is_leaving]
    if len(staying) < 3 or sum(e.is_leaving for e in site.engines) >= MAX_LEAVING:
        return
    engine = rng.choice(staying)
    await site.add_engine(engine.service, rng.random())
    engine.is_leaving = True
    await asyncio.sleep(rng.uniform(4.0, 6.0))
    site.register(engine, "draining")
    site.drained_at[engine] = site.now()
    await asyncio.sleep(3.0)
    site.store.remove(f"servers/{engine.name}")


async def roll_out(site, rng):
    """An engine of another version starts, and after some time an older one leaves; some start again in place."""
    staying = [e for e in site.engines if e.service == "s0" and not e.is_leaving and e.server is not None]
    version = f"v{1 + int((site.now() - site.started) // ROLLOUT_SECONDS)}"
    older = [e for e in staying if e.version != version]
    if not older:
        return
    engine = rng.choice(older)
    if rng.random() < 0.3:
        engine.version = version
        await crash_engine(site, rng.uniform(0.3, 1.5), engine)
        return
    await site.add_engine(engine.service, rng.random(), version)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    engine.is_leaving = True
    site.register(engine, "draining")
    site.drained_at[engine] = site.now()
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    site.store.remove(f"servers/{engine.name}")


async def kill_hosts(site, rng):
    """One or two hosts are killed in the middle of streams and start again at once."""
    hosts = [h for h in rng.sample(site.hosts, rng.choice([1, 1, 2])) if h.is_running() and not h.is_stopping]
    site.record_fault(RECOVERY_SECONDS)
    for host in hosts:
        site.record_host_fault(host, RECOVERY_SECONDS)
        site.kill(host)
    await asyncio.sleep(rng.uniform(0.1, 0.5))
    for host in hosts:
        site.start_host(host)


async def ask_for_pause(site, rng):
    """A sound engine is overloaded for seconds, and asks each host for a pause."""
    engine = rng.choice([e for e in site.engines if e.service == "s0"])
    engine.retry_after = rng.choice([1, 2, 2.5, 3])
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    engine.retry_after = None


async def kill_host(site):
    host = site.random.choice(site.hosts)
    if host.is_stopping:
        return
    site.record_fault(RECOVERY_SECONDS)
    site.record_host_fault(host, RECOVERY_SECONDS)
    site.kill(host)
    await asyncio.sleep(site.random.uniform(0.1, 1.0))
    site.start_host(host)


async def pause_host(site, seconds):
    host = site.random.choice(site.hosts)
    if host.is_stopping:
        return
    site.record_fault(seconds + RECOVERY_SECONDS)
    site.record_host_fault(host, seconds + CONTACT_SECONDS)
    process = host.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)


async def stop_hosts(site, count=1):
    if not any(h.is_stopping for h in site.hosts):
        await asyncio.gather(*(site.stop_host(h) for h in site.random.sample(site.hosts, count)))


async def reload_host(site):
    """A host reloads its settings, which are unchanged."""
    host = site.random.choice(site.hosts)
    # A process that is not ready may not handle signals yet.
    if await host.ask_ready() and not host.is_stopping:
        site.reloads.append((host.name, site.now()))
        host.send_signal(signal.SIGHUP)


async def change_limits(site):
    site.idle_limit = site.random.choice([0.6, 1.0, 2.0, 15.0])
    site.publish()


async def change_timeouts(site):
    site.timeout = site.random.choice([1.5, 2.5, 4.0])
    site.publish()


async def revoke_key(site):
    alive = [k for k in site.keys if k not in site.revoked_keys]
    if len(alive) > 5:
        site.revoked_keys[site.random.choice(alive)] = site.now()
        site.publish()


async def revoke_out_of_touch(site):
    """Keys are revoked while the store answers nobody for longer than a lease lasts."""
    outage = asyncio.ensure_future(fail_store(site, stores.SILENT, OUT_OF_TOUCH_SECONDS))
    for _ in range(REVOKED_OUT_OF_TOUCH):
        await asyncio.sleep(0.2)
        await revoke_key(site)
    await outage


async def move_route(site):
    site.booking_service = "s1" if site.booking_service == "s0" else "s0"
    site.publish()
    site.moves.append((site.now(), site.booking_service))


async def drill_store(site, rng):
    """The store is away for a moment and comes back from a copy; what was written since is written again."""
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    mode, site.store.mode = site.store.mode, stores.BUSY
    await asyncio.sleep(rng.uniform(0.1, 0.4))
    lost = site.store.go_back(rng.uniform(0.5, 3.0))
    site.store.mode = mode
    for key in rng.sample(sorted(lost), len(lost)):
        await asyncio.sleep(rng.uniform(0.0, 1.0 / len(lost)))
        # Unless it has changed meanwhile.
        if lost[key] is None:
            site.store.remove(key)
        elif key == "op/config":
            site.publish_again()
        elif site.store.items.get(key, {}).get("revision", 0) <= lost[key]["revision"]:
            site.store.put(key, lost[key]["value"])


async def compact_history(site):
    """Watches hear nothing for a second; then the history goes."""
    site.store.deaf_until = site.now() + 1.0
    await asyncio.sleep(1.0)
    site.store.compact()


def random_planned_action(site):
    """A planned operation. It must not lose any request."""
    choices = [
        lambda: stop_hosts(site),
        lambda: stop_hosts(site, 2),
        lambda: reload_host(site),
        lambda: change_limits(site),
        lambda: change_timeouts(site),
        lambda: revoke_key(site),
        lambda: move_route(site),
        lambda: drain_engine(site),
    ]
    return site.random.choice(choices)()


def random_action(site):
    """A fault or a planned operation, as a coroutine."""
    rng = site.random
    seconds = rng.uniform(0.3, 8.0)
    choices = [
        lambda: fail_store(site, rng.choice([stores.SILENT, site.store.busy_mode, stores.SLOW]), seconds),
        lambda: fail_host_path(
            site, rng.choice([proxies.DELAY, proxies.SILENT, proxies.ONE_WAY, proxies.REFUSE]), seconds),
        lambda: fail_engine_path(
            site, rng.choice([proxies.DELAY, proxies.SILENT, proxies.ONE_WAY, proxies.REFUSE]), seconds),
        lambda: reset_connections(site),
        lambda: fail_engine(site, rng.choice([engines.FLAKY, engines.HANG, engines.FULL]), seconds),
        lambda: crash_engine(site, seconds),
        lambda: drain_engine(site),
        lambda: kill_host(site),
        lambda: pause_host(site, seconds),
        lambda: stop_hosts(site),
        lambda: revoke_key(site),
        lambda: compact_history(site),
        *[lambda: random_planned_action(site)] * 4,
    ]
    return rng.choice(choices)()

"""The faults of a run, drawn by its seed; they come in series and overlap."""

import asyncio
import signal

from . import engine as engines
from . import proxy as proxies
from . import store as stores

# After a fault has ended its effects last: rests of upstreams, retries,
# confirmations that are under way.
AFTER = 4.0


async def store_mode(site, mode, seconds):
    site.harm(seconds + AFTER)
    site.store.mode = mode
    await asyncio.sleep(seconds)
    site.store.mode = stores.OK


async def host_path(site, mode, seconds):
    host = site.random.choice(site.hosts)
    path = site.random.choice([host.front, host.store_path])
    site.harm(seconds + AFTER)
    path.mode = mode
    await asyncio.sleep(seconds)
    path.mode = proxies.PASS


async def engine_path(site, mode, seconds):
    path = site.paths[site.random.choice(site.engines)]
    site.harm(seconds + AFTER)
    path.mode = mode
    await asyncio.sleep(seconds)
    path.mode = proxies.PASS


async def reset_some(site):
    site.harm(AFTER)
    site.paths[site.random.choice(site.engines)].reset_all()
    site.random.choice(site.hosts).front.reset_all()


async def engine_mode(site, mode, seconds):
    one = site.random.choice(site.engines)
    site.harm(seconds + AFTER)
    one.mode = mode
    await asyncio.sleep(seconds)
    one.mode = engines.SOUND


async def engine_crash(site, seconds):
    one = site.random.choice(site.engines)
    if one.server is None:
        return
    site.harm(seconds + AFTER)
    await one.crash()
    await asyncio.sleep(seconds)
    one.born += 1
    await one.start()
    site.register(one)


async def engine_leaves(site):
    candidates = [e for e in site.engines if e not in site.left_at]
    if len(candidates) < 5:
        return
    one = site.random.choice(candidates)
    await site.add_engine(one.service)
    site.register(one, "draining")
    site.left_at[one] = site.now()
    await asyncio.sleep(3.0)
    site.store.remove(f"servers/{one.name}")


async def engine_limited(site, rng):
    """It says how many requests a second it takes, for some seconds."""
    # Those of the busy service: the others may get nothing for seconds.
    one = rng.choice([e for e in site.engines if e.service == "s0"])
    one.limit = rng.choice([0.2, 0.5, 1.0])
    seconds = rng.uniform(6.0, 10.0)
    site.limits.append((one, one.limit, site.now(), site.now() + seconds))
    await asyncio.sleep(seconds)
    one.limit = None


async def host_killed(site):
    host = site.random.choice(site.hosts)
    if host.is_stopping:
        return
    site.harm(AFTER)
    host.send(signal.SIGKILL)
    host.process.wait()
    await asyncio.sleep(site.random.uniform(0.1, 1.0))
    site.start_host(host)


async def host_paused(site, seconds):
    host = site.random.choice(site.hosts)
    if host.is_stopping:
        return
    site.harm(seconds + AFTER)
    process = host.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)


async def hosts_stopped(site, count=1):
    if not any(h.is_stopping for h in site.hosts):
        await asyncio.gather(*(site.stop_host(h) for h in site.random.sample(site.hosts, count)))


async def host_reloaded(site):
    """Told to read its settings, which are as they were."""
    host = site.random.choice(site.hosts)
    # Before it is ready, a process may not listen for signals yet.
    if await host.ask_ready() and not host.is_stopping:
        site.reloads.append((host.name, site.now()))
        host.send(signal.SIGHUP)


async def limits_change(site):
    site.idle_limit = site.random.choice([0.6, 1.0, 2.0, 15.0])
    site.publish()


async def timeouts_change(site):
    site.timeout = site.random.choice([1.5, 2.5, 4.0])
    site.publish()


async def key_revoked(site):
    alive = [k for k in site.keys if k not in site.revoked]
    if len(alive) > 5:
        site.revoked[site.random.choice(alive)] = site.now()
        site.publish()


async def route_moves(site):
    site.booking_service = "s1" if site.booking_service == "s0" else "s0"
    site.publish()
    site.moves.append((site.now(), site.booking_service))


async def history_forgotten(site):
    site.store.forget()


def draw_planned(site):
    """One piece of planned work: nothing excuses a lost request then."""
    choices = [
        lambda: hosts_stopped(site),
        lambda: hosts_stopped(site, 2),
        lambda: host_reloaded(site),
        lambda: limits_change(site),
        lambda: timeouts_change(site),
        lambda: key_revoked(site),
        lambda: route_moves(site),
        lambda: engine_leaves(site),
    ]
    return site.random.choice(choices)()


def draw(site):
    """One fault, or a piece of planned work, as a coroutine."""
    rng = site.random
    seconds = rng.uniform(0.3, 8.0)
    choices = [
        lambda: store_mode(site, rng.choice([stores.SILENT, stores.BUSY, stores.SLOW]), seconds),
        lambda: host_path(site, rng.choice([proxies.DELAY, proxies.SILENT, proxies.ONE_WAY, proxies.REFUSE]), seconds),
        lambda: engine_path(site, rng.choice([proxies.DELAY, proxies.SILENT, proxies.ONE_WAY, proxies.REFUSE]), seconds),
        lambda: reset_some(site),
        lambda: engine_mode(site, rng.choice([engines.GREY, engines.HANG, engines.FULL]), seconds),
        lambda: engine_crash(site, seconds),
        lambda: engine_leaves(site),
        lambda: host_killed(site),
        lambda: host_paused(site, seconds),
        lambda: hosts_stopped(site),
        lambda: key_revoked(site),
        lambda: history_forgotten(site),
        *[lambda: draw_planned(site)] * 4,
    ]
    return rng.choice(choices)()

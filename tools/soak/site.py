"""Hosts as real processes, connected to simulated upstreams and a store through proxies."""

import asyncio
import json
import os
import signal
import subprocess
import time

from . import teams
from .caller import Caller
from .engine import SLOTS, Engine
from .link import OPEN, Link
from .ports import PortBlock
from .proxy import FaultProxy
from .store import Store
from .streams import versions


# How the clock of a host that counts suspended time may misbehave, as tests/clock_faults has it.
CLOCK_FAULTS = ("fails", "stands", "half", "back", "ahead")


class Host:
    def __init__(self, name, data_centre, program, folder, ports):
        self.name = name
        self.data_centre = data_centre
        self.program = program
        self.log_path = os.path.join(folder, f"{name}.log")
        self.settings_path = os.path.join(folder, f"{name}.flags")
        with open(self.settings_path, "w", encoding="utf-8") as settings:
            settings.write("--stop_limit=8s\n")
        self.listen, self.admin, self.peer, self.tunnels = (ports.allocate() for _ in range(4))
        # Its links to upstreams, by their names, and the state that they are put in together.
        self.links, self.link_state = {}, OPEN
        self.front = FaultProxy(self.listen)
        self.store_path = None
        self.process = None
        self.is_ready = False
        self.is_stopping = False
        # Killed by a fault, and not started again yet.
        self.is_killed = False
        # With a name of CLOCK_FAULTS, `program` has to be the one whose clock misbehaves.
        self.clock_fault = ""

    def start(self, seeds, flags):
        arguments = [
            self.program, "route", f"--host_name={self.name}", f"--region={self.data_centre}",
            f"--data_centre={self.data_centre}", f"--listen=127.0.0.1:{self.listen}",
            f"--admin_listen=127.0.0.1:{self.admin}", f"--peer_listen=127.0.0.1:{self.peer}",
            f"--tunnel_listen=127.0.0.1:{self.tunnels}",
            f"--platform=127.0.0.1:{self.store_path.port}", f"--seeds={seeds}", "--team_shares=true",
            f'--regions={json.dumps({"a": "west", "b": "west", "c": "east"})}',
            f"--config={self.settings_path}", *flags,
        ]
        if self.is_running():
            # Another, overlapping fault has already started it.
            return
        self.is_stopping = self.is_killed = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log,
                                            env={**os.environ, "TEST_CLOCK_FAULT": self.clock_fault})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        self.is_killed = True
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def rewrite(self, key, value):
        """The address of an upstream as this host reads it from the store: that of its own link."""
        name = key.removeprefix("servers/")
        return {**value, "address": f"127.0.0.1:{self.links[name].port}"} if name in self.links else value

    async def cut_links(self, state):
        self.link_state = state
        # An engine that is added meanwhile adds a link.
        for link in list(self.links.values()):
            await link.set_state(state)

    async def add_link(self, name, link):
        await link.start()
        self.links[name] = link
        if self.link_state != OPEN:
            await link.set_state(self.link_state)

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.admin), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    """The processes and servers of one run, and the records of what happened."""

    def __init__(self, rng, program, folder, hosts, engines, flags=()):
        self.random = rng
        self.store = Store()
        self.requests, self.runs, self.moves, self.stops = [], [], [], []
        # (time, route timeout) of each published configuration; (host, time) of each reload.
        self.configurations, self.reloads = [], []
        self.timeout, self.idle_limit = 2.5, 15.0
        self.revoked_keys, self.drained_at, self.fault_periods = {}, {}, []
        # (engine, limit, begin, end) of each advertised limit.
        self.limits = []
        # (hosts, begin, end) of each time in which hosts had no links to upstreams.
        self.partitions = []
        # [service, begin, end] of each time in which upstreams crashed from too many rejections; see Engine.crashes.
        self.brittle_times = []
        self.engines = []
        # Engines of the services that teams compete for; only faults of their own draw them. (team, begin, end) of each
        # burst of a team.
        self.team_engines, self.bursts = [], []
        # (engine, begin, end) of each time in which an engine was stopped, had crashed, or was silent.
        self.engine_faults = []
        # The part of prompts that crashes engines, and when it did; (host, begin, end) of faults of hosts.
        self.guilty_part, self.part_crashes, self.host_faults = "d", [], []
        # (host, time) of each kill of a host.
        self.kills = []
        # The path of the request that crashes engines, and when it did.
        self.guilty_path, self.request_crashes = "/view/crash", []
        # Faults that were started, as tasks.
        self.actions = []
        self.paths = {}
        ports = PortBlock()
        self.ports = ports
        self.hosts = [Host(f"h{n}", "abc"[n % 3], program, folder, ports) for n in range(hosts)]
        self.engine_count = engines
        self.flags = list(flags)
        self.version = 1
        self.keys = [f"k{n}" for n in range(40)]
        self.booking_service = "s0"
        self.started = time.monotonic()
        self.has_ended = False

    def now(self):
        return time.monotonic()

    def draw_clock_faults(self, rng):
        """Clocks misbehave at all hosts but one, whose clock is sound."""
        for host in self.hosts:
            host.clock_fault = rng.choice(CLOCK_FAULTS)
        rng.choice(self.hosts).clock_fault = ""

    def record_fault(self, seconds):
        """Records a fault that begins now and lasts `seconds`, including its after-effects."""
        self.fault_periods.append((self.now(), self.now() + seconds))

    def record_host_fault(self, host, seconds):
        self.host_faults.append((host.name, self.now(), self.now() + seconds))

    def record_engine_fault(self, engine, seconds):
        self.engine_faults.append((engine.name, self.now(), self.now() + seconds))

    def kill(self, host):
        self.kills.append((host.name, self.now()))
        host.kill()

    def had_other_fault(self, begin, end):
        """Whether there was another fault than lost links."""
        return any(a < end and begin < b for a, b in self.fault_periods)

    def had_fault(self, begin, end):
        is_partitioned = any(a < end and begin < b for _, a, b in self.partitions)
        return is_partitioned or self.had_other_fault(begin, end)

    def pick_key(self, rng):
        return rng.choice(self.keys)

    def publish(self):
        self.version += 1
        kinds = {"/book/": ("non_idempotent", 1), "/view/": ("idempotent", 2),
                 "/stream/": ("streaming", 1), "/resume/": ("streaming", 3), "/slow/": ("non_idempotent", 1),
                 "/big/": ("idempotent", 2), "/long/": ("streaming", 1), "/prompt/": ("streaming", 1)}
        routes = [
            {"name": p, "host": "desk.example", "prefix": p, "route_type": kind, "max_attempts": attempts,
             "timeout_ms": 12_000 if p in ("/big/", "/long/") else int(self.timeout * 1000),
             "target_latency_ms": 200, "stream_resume": p == "/resume/",
             "service": self.booking_service if p == "/book/" else "s0"}
            for p, (kind, attempts) in kinds.items()
        ] + teams.routes(int(self.timeout * 1000))
        alive = [k for k in self.keys if k not in self.revoked_keys]
        self.configurations.append((self.now(), self.timeout))
        self.configuration = {
            "version": self.version, "routes": routes, "limits": {"idle_timeout_ms": int(self.idle_limit * 1000)},
            "services": [{"name": s, "max_connections": 500} for s in ("s0", "s1")] + teams.services(SLOTS),
            "tenants": [{"name": "desk", "api_keys": alive}, *teams.configured_teams()],
        }
        self.publish_again()

    def publish_again(self):
        self.store.put("op/config", self.configuration)

    def register(self, engine, state="ready"):
        self.store.put(f"servers/{engine.name}", {
            "service": engine.service, "address": f"127.0.0.1:{self.paths[engine].port}",
            "zone": "abc"[len(engine.name) % 3], "version": engine.version, "slots": SLOTS, "state": state, "born": engine.incarnation,
        })

    def has_two_engines_of(self, body):
        """Whether two engines of the version of these events serve."""
        serving = [e for e in self.engines if e.service == "s0" and e.server is not None and not e.is_leaving]
        return sum(e.version in versions(body) for e in serving) >= 2

    async def add_engine(self, service, seed=None, version="v1"):
        engine_seed = self.random.random() if seed is None else seed
        engine = Engine(f"i-{len(self.engines)}", service, self.runs, engine_seed, self.ports.allocate())
        if self.engines:
            # What crashes engines crashes those that join, too.
            first = self.engines[0]
            engine.crashing_paths, engine.on_request_crash = first.crashing_paths, first.on_request_crash
        engine.version = version
        await self.start_engine(engine)
        self.engines.append(engine)
        self.register(engine)
        return engine

    async def add_team_engine(self, service, seed, speed):
        name = f"t-{len(self.team_engines)}"
        engine = Engine(name, service, self.runs, seed, self.ports.allocate(), speed)
        await self.start_engine(engine)
        self.team_engines.append(engine)
        self.register(engine)
        return engine

    async def start_engine(self, engine):
        await engine.start()
        self.paths[engine] = FaultProxy(engine.port)
        await self.paths[engine].start()
        for host in self.hosts:
            await host.add_link(engine.name, Link(self.paths[engine].port, self.ports.allocate()))

    async def start(self):
        for number in range(self.engine_count):
            await self.add_engine("s0" if number % 2 == 0 else "s1")
        self.publish()
        for host in self.hosts:
            await host.front.start()
            host.store_path = FaultProxy(await self.store.start_view(host.rewrite))
            await host.store_path.start()
            self.start_host(host)
        asyncio.ensure_future(self.poll_readiness())

    def start_host(self, host):
        # A stop that completes after the run must not start a host: it would stay and talk to later runs.
        if not self.has_ended:
            host.start(",".join(f"127.0.0.1:{h.peer}" for h in self.hosts[:3]), self.flags)

    async def poll_readiness(self):
        """Polls the readiness of each host once a second. Two failures take it out of rotation."""
        failures = {}
        # asyncio.wait_for may swallow the cancellation at the end of a run, which then never ends.
        while not self.has_ended:
            for host in self.hosts:
                ready = await host.ask_ready()
                failures[host] = 0 if ready else failures.get(host, 0) + 1
                host.is_ready = ready or (host.is_ready and failures[host] < 2)
            await asyncio.sleep(1.0)

    async def stop_host(self, host):
        """Stops a host as planned and starts it again when the process has ended."""
        begin = self.now()
        # The end is infinite until the process has ended; a run may end before.
        self.stops.append([host.name, begin, float("inf")])
        stop = self.stops[-1]
        host.is_stopping = True
        host.send_signal(signal.SIGTERM)
        while host.process.poll() is None and self.now() < begin + 8.5:
            await asyncio.sleep(0.1)
        host.send_signal(signal.SIGKILL)
        stop[2] = self.now()
        self.start_host(host)

    def failed_actions(self):
        """Faults that were not played because of an error of the soak itself."""
        ended = [action for action in self.actions if action.done() and not action.cancelled()]
        return [f"soak_failed: {action.exception()!r}" for action in ended if action.exception()]

    def end(self):
        self.has_ended = True
        self.ports.lock.close()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()

    def prompt_callers(self, count):
        """Callers with prompts, one of them with a part that crashes engines."""
        return [Caller(self, self.random, ("/prompt/",), is_guilty=n == 0) for n in range(count)]

    def repeating_caller(self, step=None):
        """A caller that repeats the request that crashes engines, with any key of its team, at any host; `step` as for
        `Caller`."""
        return Caller(self, self.random, (self.guilty_path,), is_guilty=True, step=step)

    def callers(self, count):
        """Callers of all kinds, among them some that delay the stop of a host."""
        ordinary = [Caller(self, self.random, uses_stopping_hosts=n % 5 == 0, waits=n % 10 != 0) for n in range(count)]
        slow = [Caller(self, self.random, ("/slow/",), uses_stopping_hosts=True) for _ in range(count // 5)]
        paused = [Caller(self, self.random, ("/big/",)) for _ in range(count // 10)]
        return ordinary + slow + paused + [Caller(self, self.random, ("/long/", "/view/")) for _ in range(count // 5)]

"""Hosts as real processes, with stand-ins around them and proxies between."""

import asyncio
import json
import os
import signal
import subprocess
import time

from .caller import Caller
from .engine import Engine
from .ports import PortBlock
from .proxy import FaultProxy
from .store import Store


class Host:
    def __init__(self, name, data_centre, program, folder, ports):
        self.name = name
        self.data_centre = data_centre
        self.program = program
        self.log_path = os.path.join(folder, f"{name}.log")
        self.settings_path = os.path.join(folder, f"{name}.flags")
        with open(self.settings_path, "w", encoding="utf-8") as settings:
            settings.write("--stop_limit=8s\n")
        self.listen, self.admin, self.peer = ports.take(), ports.take(), ports.take()
        self.front = FaultProxy(self.listen)
        self.store_path = None
        self.process = None
        self.is_ready = False
        self.is_stopping = False

    def start(self, seeds, flags):
        arguments = [
            self.program, "route", f"--host_name={self.name}", f"--region={self.data_centre}",
            f"--data_centre={self.data_centre}", f"--listen=127.0.0.1:{self.listen}",
            f"--admin_listen=127.0.0.1:{self.admin}", f"--peer_listen=127.0.0.1:{self.peer}",
            f"--platform=127.0.0.1:{self.store_path.port}", f"--seeds={seeds}",
            f'--regions={json.dumps({"a": "west", "b": "west", "c": "east"})}',
            f"--config={self.settings_path}", *flags,
        ]
        if self.is_running():
            # Two faults overlap, and the other one has started it.
            return
        self.is_stopping = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

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
    """Everything of one run, and what was seen."""

    def __init__(self, rng, program, folder, hosts, engines, flags=()):
        self.random = rng
        self.store = Store()
        self.told, self.runs, self.moves, self.stops = [], [], [], []
        # When each configuration was sent, with its routes' timeout; reloads by host.
        self.configurations, self.reloads = [], []
        self.timeout, self.idle_limit = 2.5, 15.0
        self.revoked, self.left_at, self.harms = {}, {}, []
        # Each time that an upstream named a limit: which, how much, from and until when.
        self.limits = []
        self.engines = []
        self.paths = {}
        ports = PortBlock()
        self.ports = ports
        self.hosts = [Host(f"h{n}", "abc"[n % 3], program, folder, ports) for n in range(hosts)]
        self.engine_count = engines
        self.flags = list(flags)
        self.version = 1
        self.keys = [f"k{n}" for n in range(40)]
        self.booking_service = "s0"
        self.began = time.monotonic()
        self.is_over = False

    def now(self):
        return time.monotonic()

    def harm(self, seconds):
        """A fault begins that may last so long, its after-effects included."""
        self.harms.append((self.now(), self.now() + seconds))

    def harmed(self, begin, end):
        return any(a < end and begin < b for a, b in self.harms)

    def pick_key(self, rng):
        return rng.choice(self.keys)

    def publish(self):
        self.version += 1
        kinds = {"/book/": ("non_idempotent", 1), "/view/": ("idempotent", 2),
                 "/stream/": ("streaming", 1), "/resume/": ("streaming", 3), "/slow/": ("non_idempotent", 1),
                 "/big/": ("idempotent", 2), "/long/": ("streaming", 1)}
        routes = [
            {"name": p, "host": "desk.example", "prefix": p, "route_type": kind, "max_attempts": attempts,
             "timeout_ms": 12_000 if p in ("/big/", "/long/") else int(self.timeout * 1000),
             "target_latency_ms": 200, "stream_resume": p == "/resume/",
             "service": self.booking_service if p == "/book/" else "s0"}
            for p, (kind, attempts) in kinds.items()
        ]
        alive = [k for k in self.keys if k not in self.revoked]
        self.configurations.append((self.now(), self.timeout))
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "limits": {"idle_timeout_ms": int(self.idle_limit * 1000)},
            "services": [{"name": s, "max_connections": 500} for s in ("s0", "s1")],
            "tenants": [{"name": "desk", "api_keys": alive}],
        })

    def register(self, engine, state="ready"):
        self.store.put(f"servers/{engine.name}", {
            "service": engine.service, "address": f"127.0.0.1:{self.paths[engine].port}",
            "zone": "abc"[len(engine.name) % 3], "slots": 16, "state": state, "born": engine.born,
        })

    async def add_engine(self, service):
        engine = Engine(
            f"i-{len(self.engines)}", service, self.runs, self.random.random(), self.ports.take()
        )
        await engine.start()
        self.paths[engine] = FaultProxy(engine.port)
        await self.paths[engine].start()
        self.engines.append(engine)
        self.register(engine)
        return engine

    async def start(self):
        await self.store.start()
        for number in range(self.engine_count):
            await self.add_engine("s0" if number % 2 == 0 else "s1")
        self.publish()
        for host in self.hosts:
            await host.front.start()
            host.store_path = FaultProxy(self.store.port)
            await host.store_path.start()
            self.start_host(host)
        asyncio.ensure_future(self.balance())

    def start_host(self, host):
        # A stop that ends as the run does would leave a host behind, which talks to later runs.
        if not self.is_over:
            host.start(",".join(f"127.0.0.1:{h.peer}" for h in self.hosts[:3]), self.flags)

    async def balance(self):
        """Asks each host once a second; two misses take it out of rotation."""
        misses = {}
        while True:
            for host in self.hosts:
                ready = await host.ask_ready()
                misses[host] = 0 if ready else misses.get(host, 0) + 1
                host.is_ready = ready or (host.is_ready and misses[host] < 2)
            await asyncio.sleep(1.0)

    async def stop_host(self, host):
        """A planned stop, and a start when the process is gone."""
        begin = self.now()
        # Until the process is gone; a run may end before.
        self.stops.append([host.name, begin, float("inf")])
        stop = self.stops[-1]
        host.is_stopping = True
        host.send(signal.SIGTERM)
        while host.process.poll() is None and self.now() < begin + 8.5:
            await asyncio.sleep(0.1)
        host.send(signal.SIGKILL)
        stop[2] = self.now()
        self.start_host(host)

    def end(self):
        self.is_over = True
        self.ports.lock.close()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()

    def callers(self, count):
        """Of all kinds, and a few of those that hold a host up."""
        usual = [Caller(self, self.random, stubborn=n % 5 == 0) for n in range(count)]
        slow = [Caller(self, self.random, ("/slow/",), stubborn=True) for _ in range(count // 5)]
        paused = [Caller(self, self.random, ("/big/",)) for _ in range(count // 10)]
        return usual + slow + paused + [Caller(self, self.random, ("/long/", "/view/")) for _ in range(count // 5)]

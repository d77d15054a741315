"""Stand-ins for the scripts of the review: the platform's store, engines, callers, and the start of hosts.

All of them listen and connect on loopback addresses alone. Names and formats are those of the users' pages."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Most bytes of a page of the store, as base64 text.
PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500
# Bounds of the deployment `kmca-router`.
BOUNDS = {
    "grace_s": 8, "config_apply_ms": 2500, "revoke_ms": 5000, "contact_ms": 3000,
    "retry_budget_ratio": 0.2, "budget_extra": 54,
}


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def free_ports(addresses, count):
    """Ports that are free at all of these addresses, for TCP and UDP."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        taken = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    taken.append(probe)
                    probe.bind((address, port))
        except OSError:
            continue
        finally:
            for probe in taken:
                probe.close()
        if port not in found:
            found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """The first line and the headers (names in lower case), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").rstrip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's metadata store. `answer_status(path, query, peer)` may turn a call away with another status."""

    def __init__(self, record, history_s=20.0):
        self.record, self.history_s = record, history_s
        self.items, self.log, self.revision, self.times = {}, [], 10, {}
        self.changed = asyncio.Event()
        self.answer_status = lambda path, query, peer: None
        self.on_call = lambda path, query, peer, status: None
        self.port = 0
        self.server = None
        self.address = "127.0.0.1"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Writes an item; the return is the acknowledgement."""
        self.revision += 1
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created_rev": created, "lease": 0}
        self.items[key] = item
        self.log.append(item)
        self.wake()
        self.times[self.revision] = time.monotonic()
        return self.times[self.revision]

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.log.append({"key": key, "revision": self.revision, "tombstone": True})
        self.wake()
        self.times[self.revision] = time.monotonic()
        return self.times[self.revision]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                url = urlsplit(head[0].split()[1])
                query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
                status = self.answer_status(url.path, query, peer)
                self.on_call(url.path, query, peer, status)
                if status is not None:
                    writer.write(response(status, b"{}"))
                elif url.path == "/kv-range":
                    await asyncio.sleep(0.004)
                    writer.write(response(200, json.dumps(self.page(query)).encode(), ["Content-Type: application/json"]))
                elif url.path == "/kv-watch" and int(query["after"]) < self.first_kept() - 1:
                    writer.write(response(410, b"{}"))
                elif url.path == "/kv-watch":
                    writer.write(response(200, json.dumps(await self.watch(query)).encode(),
                                          ["Content-Type: application/json"]))
                else:
                    writer.write(response(404, b"{}"))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def first_kept(self):
        """The oldest change of the history that is left."""
        oldest = time.monotonic() - self.history_s
        return min((revision for revision, at in self.times.items() if at >= oldest), default=self.revision + 1)

    def page(self, query):
        """At most about 500 items or 1 MB."""
        prefix, after = query.get("prefix", ""), unquote(query.get("after", ""))
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        chosen, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if chosen and (size > PAGE_BYTES or len(chosen) >= PAGE_ITEMS):
                break
            chosen.append(key)
        return {"items": [self.items[k] for k in chosen], "more_pages": len(chosen) < len(keys),
                "store_revision": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine:
    """A sound engine of a plain service. It serves one request at a time on a connection, up to `slots` at once.

    `answer(path)` returns the seconds that a request takes and its body."""

    def __init__(self, name, service, store, record, answer, slots=6, zone="otaru-a"):
        self.name, self.service, self.store, self.record, self.zone = name, service, store, record, zone
        self.answer, self.slots = answer, slots
        self.born = int(time.time() * 1000)
        self.address, self.port, self.server = "127.0.0.1", 0, None
        self.runs = []  # (time, request id, path, tenant, connection)
        self.finished = {}
        self.running = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def register(self, state="ready"):
        return self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": self.born})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await reader.readexactly(int(head[1].get("content-length", "0")))
                await self.handle(head, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, writer):
        path, headers = head[0].split()[1], head[1]
        identity = headers.get("attempt-id", "")
        mark = [f"Attempt-Id: {identity}", f"Instance-Id: {self.name}"]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, b"", mark + ["Not-Executed: 1"]))
            return
        if self.running >= self.slots:
            writer.write(response(503, b"", mark + ["Not-Executed: 1"]))
            return
        self.running += 1
        connection = writer.get_extra_info("peername")[1]
        self.runs.append((time.monotonic(), identity, path, headers.get("tenant", ""), connection))
        self.record.write(f"engine {self.name} runs {identity} {path} for tenant '{headers.get('tenant', '')}'"
                          f" on connection {connection}")
        try:
            seconds, body = self.answer(path)
            await asyncio.sleep(seconds)
            writer.write(response(200, body, mark + [f"Response-Seal: seal-{self.name}-{identity}"]))
            self.finished[identity] = time.monotonic()
        finally:
            self.running -= 1


def make_window_small(link):
    """A client behind a slow link: small segments and a small window. Before it connects."""
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)


class Answer:
    """What a client got: status 0 if its connection ended without a complete answer."""

    def __init__(self, status=0, headers=None, size=0, seconds=0.0):
        self.status, self.headers, self.size, self.seconds = status, headers or {}, size, seconds

    def is_served(self):
        return self.status == 200 and "response-seal" in self.headers


async def ask(host, method, path, identity, key="", deadline_ms=800, before_reading=0.0, small_window=False):
    """One request of a client on a new connection. It may begin to read its answer later than it comes."""
    begun = time.monotonic()
    link = socket.socket()
    if small_window:
        make_window_small(link)
    link.setblocking(False)
    writer = None

    async def exchange():
        nonlocal writer
        await asyncio.get_running_loop().sock_connect(link, (host.ip, host.front))
        lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Attempt-Id: {identity}",
                 f"Deadline-Ms: {deadline_ms}", *([f"Authorization: Bearer {key}"] if key else []),
                 "Content-Length: 0", "", ""]
        await asyncio.get_running_loop().sock_sendall(link, "\r\n".join(lines).encode())
        if before_reading:
            await asyncio.sleep(before_reading)
        reader, writer = await asyncio.open_connection(sock=link)
        head = await read_head(reader)
        if head is None:
            return Answer()
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
        return Answer(int(head[0].split()[1]), head[1], len(body))

    try:
        answer = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.5)
    except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        answer = Answer()
    finally:
        if writer is not None:
            writer.close()
        else:
            link.close()
    answer.seconds = time.monotonic() - begun
    return answer


class Host:
    """A process of the system, started with the command and the settings of the deploy file."""

    def __init__(self, name, ip, zone, ports, store, seeds, folder, zones):
        self.name, self.ip, self.zone = name, ip, zone
        self.front, self.ready, self.metrics, self.peer, self.tunnel = ports
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.settings = pathlib.Path(folder) / f"{name}.settings"
        values = {
            "node_name": name, "region": "doo-west", "zone": zone,
            "zones|json": json.dumps(zones),
            "listen.front": f"{ip}:{self.front}", "listen.ready": f"{ip}:{self.ready}", "ip": ip,
            "platform.address": f"{store.address}:{store.port}",
            "internal_port_range.0": str(self.peer), "internal_port_range.1": str(self.tunnel), "seeds": seeds,
            **{f"bounds.{name}": str(value) for name, value in BOUNDS.items()},
        }
        text = (ROOT / "deploy/settings.template").read_text(encoding="utf-8")
        for name_, value in values.items():
            text = text.replace("{{" + name_ + "}}", value)
        # All hosts of a case are on one machine, where the template's port may be in use.
        text = text.replace(f"{ip}:9464", f"{ip}:{self.metrics}")
        assert "{{" not in text, text
        self.settings.write_text(text, encoding="utf-8")
        self.process = None

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["CAPERJUNCTION_CONFIG"] = str(self.settings)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["target/bin/caperjunction", "route"], cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def make_hosts(count, store, folder, zones=("otaru-a",)):
    """Hosts of these zones in turn, each with an address of its own; the first ones are the seeds."""
    addresses = [f"127.0.0.{11 + number}" for number in range(count)]
    ports = free_ports(addresses, 6)
    seeds = ",".join(f"{address}:{ports[5]}" for address in addresses[:3])
    regions = {zone: "doo-west" for zone in zones}
    return [Host(f"edge-{number + 1}", address, zones[number % len(zones)], ports[:5], store, seeds, folder, regions)
            for number, address in enumerate(addresses)]


def run_case(case, folder):
    """Runs `case(record, temporary_folder)` and exits with what it returns; 2 if it couldn't run."""
    record = Record(folder)
    if not (ROOT / "target/bin/caperjunction").exists():
        record.write("target/bin/caperjunction is missing: run the build of deploy/system.toml")
        raise SystemExit(NOT_RUN)
    def stop(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        except Exception as failure:  # The case itself failed.
            record.write(f"the case could not run: {failure!r}")
            result = NOT_RUN
    record.write({HELD: "result: the rule held", BROKEN: "result: the rule was broken",
                  NOT_RUN: "result: not run"}[result])
    raise SystemExit(result)

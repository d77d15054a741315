"""Stand-ins for the cases 6 to 10: the platform's store, engines, clients and hosts, on loopback addresses.

Each follows PROTOCOL.md and DEPLOY.md of the users' pages. Times are those of the monotonic clock, in seconds since
the start of the case."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "bin" / "caperjunction"
TEMPLATE = ROOT / "deploy" / "settings.template"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGIN = time.monotonic()


def now():
    return time.monotonic() - BEGIN


class Record:
    """The lines of record.txt, in the order of their times."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def write(self):
        ordered = sorted(self.lines, key=lambda line: line[0])
        self.path.write_text("".join(f"{at:8.3f} {text}\n" for at, text in ordered))


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def read_head(reader):
    """The first line and the headers, names in lower case; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (field := await reader.readline()) not in (b"\r\n", b"\n"):
        if not field:
            return None
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return line.decode("latin-1").split(), headers


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\n")).strip(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


class Store:
    """The platform's store. What the operator and the engines write is acknowledged when `put` and `remove` return."""

    def __init__(self, record, page_items=500, page_bytes=1_000_000):
        self.record = record
        self.page_items, self.page_bytes = page_items, page_bytes
        self.items, self.log, self.revision = {}, [], 100
        self.changed = asyncio.Event()
        # Called with the path of each call; a status other than 200 refuses it.
        self.refuses = lambda path: 200
        # Connections that have gone silent, by their number.
        self.silent, self.open = set(), set()
        self.numbers = itertools.count(1)
        # Watches that wait now: the number of the connection and when each began.
        self.watches = {}
        self.on_watch = asyncio.Event()
        self.port = 0

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, item):
        self.revision += 1
        item["revision"] = self.revision
        if item.get("tombstone"):
            self.items.pop(item["key"], None)
        else:
            before = self.items.get(item["key"])
            item["created_rev"] = before["created_rev"] if before else self.revision
            self.items[item["key"]] = item
        self.log.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.change({"key": key, "value": text, "lease": 0})

    def remove(self, key):
        self.change({"key": key, "tombstone": True})

    def silence_open(self):
        """All open connections go silent for good; new ones work."""
        self.silent |= self.open

    async def serve(self, reader, writer):
        number = next(self.numbers)
        self.open.add(number)
        try:
            while (head := await read_head(reader)) is not None:
                if number in self.silent:
                    await asyncio.sleep(3600)
                url = urlsplit(head[0][1])
                query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
                status = self.refuses(url.path)
                if status != 200:
                    self.record.add(f"store: {url.path} refused with {status}")
                    answer = response(status)
                elif url.path == "/kv-range":
                    answer = self.read_range(query)
                else:
                    answer = await self.watch(query, number)
                if number in self.silent:
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(number)
            writer.close()

    def read_range(self, query):
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
        page, size = [], 0
        for key in keys:
            if len(page) >= self.page_items or size >= self.page_bytes:
                break
            page.append(self.items[key])
            size += len(json.dumps(self.items[key]))
        more = len(page) < len(keys)
        self.record.add(f"store: range after '{after}': {len(page)} items, more_pages {more}, revision {self.revision}")
        return self.answer({"items": page, "more_pages": more, "store_revision": self.revision})

    async def watch(self, query, number):
        after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        self.watches[number] = (now(), until)
        self.on_watch.set()
        self.on_watch = asyncio.Event()
        try:
            while True:
                events = [item for item in self.log if item["revision"] > after]
                if events or now() >= until:
                    self.record.add(f"store: watch after {after}: {len(events)} events, revision {self.revision}")
                    return self.answer({"events": events, "store_revision": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watches.pop(number, None)

    @staticmethod
    def answer(body):
        return response(200, json.dumps(body).encode(), ["Content-Type: application/json"])


class Engine:
    """An engine of a plain service. It records what it runs."""

    def __init__(self, record, name, service, zone, work_s=0.015):
        self.record, self.name, self.service, self.zone, self.work_s = record, name, service, zone, work_s
        self.born = int(time.time() * 1000)
        # (time, attempt, tenant, path) of each run.
        self.runs, self.writers, self.has_ended = [], set(), False
        self.running = {}

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.at = f"{address}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.at, "zone": self.zone, "version": "1.0", "slots": 6,
                "state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": self.born}

    def exit(self):
        """The process ends: its listener and its connections."""
        self.has_ended = True
        self.server.close()
        self.record.add(f"engine {self.name}: ends while it runs {sorted(self.running)}")
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, *_), headers = head
                await reader.readexactly(int(headers.get("content-length", "0")))
                writer.write(await self.answer(method, target, headers))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers):
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            return response(421, b"", [f"Instance-Id: {self.name}"])
        if target == "/health":
            return response(200, b"", [f"Instance-Id: {self.name}"])
        self.runs.append((now(), attempt, headers.get("tenant", ""), target))
        self.running[attempt] = now()
        self.record.add(f"engine {self.name}: runs {attempt} {method} {target} tenant={headers.get('tenant', '')}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running.pop(attempt, None)
        body = f"{self.name} {attempt}\n".encode()
        return response(200, body, [f"Attempt-Id: {attempt}", f"Response-Seal: {self.name}.{attempt}"])


class Client:
    """A client that keeps its connection for many requests."""

    numbers = itertools.count(1)

    def __init__(self, record, front, name):
        self.record, self.front, self.name = record, front, name
        self.reader = self.writer = None
        self.sent = []

    async def request(self, method, path, key, deadline_ms, host="desk.example", body=b""):
        """Returns (attempt, sent at, status or None, body)."""
        attempt = f"{random.getrandbits(32):08x}{next(self.numbers):08x}"
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.front)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}",
                 f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sent_at = now()
        self.record.add(f"client {self.name}: sends {attempt} {method} {path} key={key}", sent_at)
        status, answer = None, b""
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            status, answer = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
        self.record.add(f"client {self.name}: gets {attempt} {status}")
        self.sent.append((attempt, sent_at, status, answer))
        return self.sent[-1]

    async def read_answer(self):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        (_, status, *_), headers = head
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunked(self.reader)
        else:
            body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status), body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def render(template, fields):
    """Fills in the placeholders of a template of the deploy file, those that it uses."""
    def value(match):
        found = fields
        path, _, form = match.group(1).partition("|")
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        if form == "json":
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def free_ports(addresses, count):
    """Numbers of adjacent ports that are free at all addresses."""
    for _ in range(200):
        base = random.randrange(20_000, 31_000)
        held = []
        try:
            for address, port, kind in itertools.product(
                    addresses, range(base, base + count), (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                probe = socket.socket(socket.AF_INET, kind)
                held.append(probe)
                probe.bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise RuntimeError("no free ports")


class Host:
    """One process of the deploy file's role, with the settings of a small deployment."""

    BOUNDS = {"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_extra": 54, "grace_s": 8, "config_apply_ms": 2500}

    def __init__(self, record, number, zone, addresses, base, store, folder):
        self.record, self.zone = record, zone
        self.address = addresses[number]
        self.name = f"edge-{zone}-{number + 1}"
        self.front, self.ready = (self.address, base), (self.address, base + 1)
        self.fields = {
            "node_name": self.name, "region": "doo-west", "zone": zone, "ip": self.address,
            "zones": {"otaru-a": "doo-west", "kushiro-a": "doo-east", "chitose-b": "doo-west"},
            "listen": {"front": f"{self.address}:{base}", "ready": f"{self.address}:{base + 1}"},
            "platform": {"address": f"127.0.0.1:{store.port}"}, "bounds": self.BOUNDS,
            "internal_port_range": [base + 4, base + 19], "seeds": [f"{a}:{base + 2}" for a in addresses[:3]],
        }
        self.settings = pathlib.Path(folder) / f"{self.name}.settings"
        self.log = pathlib.Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        self.settings.write_text(render(TEMPLATE.read_text(), self.fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CAPERJUNCTION_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(PROGRAM), "route"], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.record.add(f"host {self.name}: started")

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s):
        until = now() + limit_s
        while now() < until:
            if await self.is_ready():
                self.record.add(f"host {self.name}: ready")
                return True
            await asyncio.sleep(0.05)
        return False


def make_hosts(record, zones, store, folder):
    network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    addresses = [f"{network}.{10 + number}" for number in range(len(zones))]
    base = free_ports(addresses, 24)
    hosts = [Host(record, number, zone, addresses, base, store, folder) for number, zone in enumerate(zones)]
    for host in hosts:
        host.fields["metrics"] = ""
    return hosts


def run_case(folder, case):
    """Runs `case(record, folder for files)`, a coroutine that returns the broken rules as lines, and ends the process
    with the status that the issue asks for."""
    record = Record(pathlib.Path(folder) / "record.txt")
    hosts = []
    status = 2
    with tempfile.TemporaryDirectory() as place:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, place, hosts), 110))
            status = 1 if broken else 0
            for line in broken:
                print(line)
                record.add(f"broken: {line}")
        except Exception as failure:  # the case couldn't run
            print(f"couldn't run: {failure!r}")
            record.add(f"couldn't run: {failure!r}")
        finally:
            for host in hosts:
                host.stop()
                if os.environ.get("KEEP_LOGS"):
                    pathlib.Path(os.environ["KEEP_LOGS"], host.log.name).write_bytes(host.log.read_bytes())
    record.add(f"exit {status}, trouble {'on' if TROUBLE else 'off'}")
    record.write()
    print(f"exit {status}")
    raise SystemExit(status)

"""Upstreams that record what they execute and fail as scheduled."""

import asyncio
import random
import time

from . import prompts
from .http import ignore_errors, make_response, read_body, read_head, reset
from .streams import make_event

HEALTHY, FLAKY, HANG, FULL = "sound", "grey", "hang", "full"
BIG_ANSWER_BYTES = 3_000_000
# Paths whose answers are streams.
STREAMS = ("/stream/", "/resume/", "/long/", "/prompt/", "/team/", "/chat/")
# Slots of each engine. Only a brittle one turns requests beyond these and BRITTLE_QUEUE away.
SLOTS, BRITTLE_QUEUE = 8, 2
# Work of a brittle engine takes this long, so that callers fill it.
BRITTLE_SECONDS = 0.15
# An engine that a part of a prompt crashes begins its answer this long before.
TIME_TO_CRASH = 0.06
# An engine that crashed because it rejected too many requests is back after this time.
CRASH_SECONDS = 3.0


def event_count(path):
    """The number of events of a stream: 20; 5 for a /team/ path; for a /long/ path its last number, 0.1 s apart."""
    if path.startswith("/team/"):
        return 5
    return int(path.rpartition("/")[2]) if path.startswith("/long/") else 20


def plain_answer(path, request_id):
    text = f"{path} by {request_id}"
    return (text + " ") * (BIG_ANSWER_BYTES // len(text)) if path.startswith("/big/") else text


class Run:
    """One execution of a request by an upstream."""

    def __init__(self, request_id, path, engine, service, key_team, version="v1"):
        self.id = request_id
        self.path = path
        self.engine = engine
        self.service = service
        self.team = key_team
        self.version = version
        self.started = time.monotonic()
        self.ended = None
        # When its prompt had been read.
        self.begun = None
        # It crashes its engine.
        self.is_guilty = False
        # The upstream closed the connection before the answer was complete.
        self.upstream_aborted = False
        self.resumed_after = 0


class Engine:
    def __init__(self, name, service, runs, seed, port=0, speed=None):
        self.name = name
        self.service = service
        self.runs = runs
        self.mode = HEALTHY
        self.incarnation = 1
        # Of its software; belongs to a start.
        self.version = "v1"
        self.random = random.Random(seed)
        # Of its own: another draw would change all other faults of a seed.
        self.framing_random = random.Random(seed)
        self.seed, self.speed = seed, speed or random.Random(f"speed {seed}").choice(prompts.SPEEDS)
        self.prompts = prompts.PromptReader(self, self.speed, seed)
        self.server = None
        self.port = port
        self.writers = set()
        self.arrivals = []
        # Advertised limit in requests per second; None: no limit.
        self.limit = None
        # Rejections per second above which it crashes; None: any number.
        self.rejection_limit = None
        # It says so for some time before it comes true.
        self.brittle_from = 0.0
        self.rejections, self.crashes, self.on_crash = [], [], None
        # Parts of prompts at which it crashes, and what is called then.
        self.crashing_parts, self.on_part_crash = (), None
        # Beginnings of the paths of requests at which it crashes, and what is called then.
        self.crashing_paths, self.on_request_crash = (), None
        self.running, self.down_until = 0, 0.0
        self.silent_until = 0.0
        # It says so in all its answers: (time, request) of each.
        self.is_leaving, self.said_leaving = False, []
        # While set, it rejects requests and asks for a pause of so many seconds: (time, request, seconds) of each.
        self.retry_after, self.pauses = None, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        self.server.close()
        self.server = None
        # It starts again with nothing in its cache.
        self.prompts = prompts.PromptReader(self, self.speed, self.seed)
        for run in self.runs:
            run.upstream_aborted |= run.engine == self.name and run.ended is None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(head, body, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, head, body, reader, writer):
        path, headers = head[0].split()[1], head[1]
        request_id = headers.get("attempt-id", "")
        mark = [f"Attempt-Id: {request_id}"]
        if self.limit is not None:
            mark.append(f"Server-Limit: {self.limit}")
        if self.rejection_limit is not None:
            mark.append(f"Server-Brittle: {self.rejection_limit}")
        await self.wait_for_silence()
        if reader.at_eof():
            # The request was given up on meanwhile.
            return False
        if headers.get("expect-instance") != self.name:
            writer.write(make_response(421, b"", mark + [f"Instance-Id: {self.name}"]))
            return True
        now = time.monotonic()
        self.arrivals.append((now, request_id))
        if self.is_leaving:
            mark.append("Server-Leaving: 1")
            self.said_leaving.append((now, request_id))
        if self.retry_after is not None:
            self.pauses.append((now, request_id, self.retry_after))
            asked = ["Not-Executed: 1", f"Retry-After: {self.retry_after}"]
            writer.write(make_response(503, b"", mark + asked))
            return True
        if self.mode == FULL or self.is_full():
            writer.write(make_response(503, b"", mark + ["Not-Executed: 1"]))
            return True
        run = Run(request_id, path, self.name, self.service, headers.get("tenant"), self.version)
        self.runs.append(run)
        watcher = asyncio.ensure_future(self.watch_disconnect(reader, run))
        self.running += 1
        try:
            return await self.execute(run, path, headers, mark, writer)
        finally:
            self.running -= 1
            watcher.cancel()
            if run.ended is None:
                run.ended = time.monotonic()

    async def wait_for_silence(self):
        """A sound engine may stop for a second and go on."""
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    def is_full(self):
        """Whether a brittle engine rejects a request. It crashes if it rejects too many in a second."""
        now = time.monotonic()
        if self.rejection_limit is None or now < self.brittle_from or self.running < SLOTS + BRITTLE_QUEUE:
            return False
        self.rejections = [at for at in self.rejections if at > now - 1.0] + [now]
        if len(self.rejections) > self.rejection_limit and now > self.down_until:
            self.rejections = []
            self.crashes.append(now)
            self.down_until = now + CRASH_SECONDS
            asyncio.ensure_future(self.on_crash(self))
        return True

    async def watch_disconnect(self, reader, run):
        """Records when the host closes the connection during the execution."""
        while not reader.at_eof():
            await asyncio.sleep(0.02)
        run.ended = time.monotonic()

    async def execute(self, run, path, headers, mark, writer):
        if self.mode == HANG:
            await asyncio.sleep(3600)
        if self.mode == FLAKY and self.random.random() < 0.5:
            if self.random.random() < 0.5:
                run.upstream_aborted = True
                reset(writer)
                return False
            writer.write(make_response(500, b"oops", mark + ["Response-Seal: x"]))
            return True
        if self.rejection_limit is not None:
            await asyncio.sleep(BRITTLE_SECONDS)
        mark = mark + [f"Response-Seal: {self.name}"]
        # A third of the answers end with their connections.
        is_framed = self.framing_random.random() < 2 / 3
        if path.startswith(self.crashing_paths):
            run.is_guilty = True
            await asyncio.sleep(TIME_TO_CRASH)
            asyncio.ensure_future(self.on_request_crash(self))
            return False
        if any(part in headers.get("prompt-prefix", "") for part in self.crashing_parts):
            run.is_guilty = True
            writer.write("\r\n".join(["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *mark, "", ""]).encode())
            await asyncio.sleep(TIME_TO_CRASH)
            asyncio.ensure_future(self.on_part_crash(self))
            return False
        await self.prompts.read(run, headers)
        if run.ended is not None:
            return False
        run.begun = time.monotonic()
        if path.startswith(STREAMS):
            run.resumed_after = int(headers.get("last-event-id", "0"))
            return await self.stream(run, path, mark, is_framed, writer)
        # The path of a slow request contains its duration in milliseconds.
        await asyncio.sleep(int(path[6:]) / 1000 if path.startswith("/slow/") else 0.01)
        writer.write(make_response(200, plain_answer(path, run.id).encode(), mark, is_framed))
        await ignore_errors(writer.drain())
        return is_framed

    async def stream(self, run, path, mark, is_framed, writer):
        """Sends the events of a run. A faulty engine may break off inside one, without an error of its connection."""
        framing = ["Transfer-Encoding: chunked"] if is_framed else []
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *framing, *mark, "", ""]).encode())
        for number in range(run.resumed_after + 1, event_count(path) + 1):
            await asyncio.sleep(0.1 if path.startswith("/long/") else 0.03)
            await self.wait_for_silence()
            if writer.transport.is_closing() or run.ended is not None:
                return False
            event = make_event(run, number)
            run.upstream_aborted |= self.mode == FLAKY and self.framing_random.random() < 0.1
            if run.upstream_aborted:
                event = event[:self.framing_random.randrange(1, len(event) - 1)]
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if is_framed else event)
            await ignore_errors(writer.drain())
            if run.upstream_aborted:
                return False
        writer.write(b"0\r\n\r\n" if is_framed else b"")
        return is_framed

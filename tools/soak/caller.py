"""Callers that reuse connections and record the answers they receive."""

import asyncio
import itertools
import time

from . import teams
from .http import read_body, read_head
from .streams import last_event_id

# Attempts with which a caller takes up a stream that broke off.
MAX_TAKEOVERS = 3


class RequestRecord:
    """A request and its answer, as its caller observed them."""

    def __init__(self, request_id, path, key, host, deadline):
        self.id = request_id
        self.path = path
        self.deadline = deadline
        self.key = key
        self.host = host
        self.sent = time.monotonic()
        # How long the connection was idle before, and whether its previous answer was read with a pause.
        self.idle_time, self.after_paused_read = 0.0, False
        self.ended = None
        self.status = None
        self.service = None
        self.body = b""
        # False if the connection ended before the answer was complete.
        self.complete = False
        self.is_guilty = False
        self.caller_left = False
        # Of a stream that is taken up: its first id, the last event that the caller had, and whether two engines of
        # its version served.
        self.resumes, self.resumed_after, self.could_go_on = "", 0, False


class Caller:
    counter = itertools.count(1)

    def __init__(self, site, rng, prefixes=("/book/", "/book/", "/view/", "/stream/", "/resume/"),
                 uses_stopping_hosts=False, waits=True, is_guilty=False, key=None, interval=(0.02, 0.12), step=None):
        self.site = site
        self.random = rng
        self.prefixes = prefixes
        # Sends to stopping hosts as long as their processes run.
        self.uses_stopping_hosts = uses_stopping_hosts
        self.idle_since, self.has_paused = 0.0, False
        self.connection = None
        self.host = None
        # Some callers don't wait as they are told.
        self.waits, self.retry_after = waits, 0.0
        # The record of the last request.
        self.last = None
        # Sends prompts with the part that crashes engines, twice a second.
        self.is_guilty = is_guilty
        # The only key that it sends; None: any. Bounds of the pause before a request (s).
        self.key, self.interval = key, interval
        # It sends at multiples of this time (s), as do others with the same; None: at any.
        self.step = step

    async def run(self, until):
        while time.monotonic() < until:
            is_idle = self.random.random() < 0.02
            await asyncio.sleep(self.random.uniform(0.5, 1.5) if is_idle else self.random.uniform(*self.interval))
            if self.step is not None:
                await asyncio.sleep(self.step - time.monotonic() % self.step)
            elif self.is_guilty:
                await asyncio.sleep(0.4)
            if self.waits and not self.is_guilty:
                await asyncio.sleep(min(self.retry_after, 1.0))
            self.retry_after = 0.0
            try:
                await self.one_request(until)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.close_connection()
            await self.take_up(until)
        self.close_connection()

    async def take_up(self, until):
        """Takes up the last stream if it broke off, at other hosts."""
        first = self.last
        body, attempt = first.body if first is not None else b"", first
        for _ in range(MAX_TAKEOVERS):
            is_broken = (attempt is not None and attempt.path.startswith("/resume/") and not attempt.complete
                         and not attempt.caller_left)
            has_events = last_event_id(body) > 0
            if not is_broken or not has_events or time.monotonic() > until:
                return
            self.close_connection()
            self.last = None
            try:
                await self.one_request(until, first, last_event_id(body))
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.close_connection()
            if self.last is not None:
                attempt = self.last
                body = attempt.body if last_event_id(attempt.body) > 0 else body
            await asyncio.sleep(min(self.retry_after, 0.3))

    def prompt(self, path):
        """The header of a prompt: a first part of three, a subject of ten, and a part of its own."""
        if path.startswith(("/team/", "/chat/")):
            return teams.prompt(path, self.key, next(self.counter))
        if not path.startswith("/prompt/"):
            return []
        subject = self.site.guilty_part if self.is_guilty else f"b{self.random.randrange(10)}"
        parts = f"a{self.random.randrange(3)}:30,{subject}:30,f{next(self.counter)}:10"
        return ["Model: m", "Token-Usage: 70,20", f"Prompt-Prefix: {parts}"]

    def close_connection(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None

    def pick_path(self):
        prefix = self.random.choice(self.prefixes)
        if prefix == "/long/":
            return prefix + str(self.random.randint(10, 100))
        # Half of the slow requests take nearly their whole deadline.
        return prefix + (str(self.random.choice([self.random.randint(300, 2000), 2300])) if prefix == "/slow/" else "x")

    def pick_host(self):
        """A host as a load balancer selects it, or None. Readiness may be 2 s old, but a connection to a killed host is
        refused, and the balancer selects another one. A host that has ended without a fault is still selected, so that
        the checks find its requests."""
        stopping = [h for h in self.site.hosts if self.uses_stopping_hosts and h.is_stopping and h.is_running()]
        ready = [h for h in self.site.hosts if h.is_ready]
        hosts = [h for h in stopping or ready if not h.is_killed]
        return self.random.choice(hosts) if hosts else None

    async def one_request(self, until, resumed=None, last_event=0):
        """Sends a request, or takes up the stream of the record `resumed` after its event `last_event`."""
        self.last = None
        if self.connection is None:
            self.host = self.pick_host()
            if self.host is None:
                return
            self.connection = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.host.front.port), 1
            )
            self.idle_since, self.has_paused = time.monotonic(), False
        reader, writer = self.connection
        path = self.pick_path() if resumed is None else resumed.path
        deadline = 12.0 if path.startswith(("/long/", "/big/")) else 2.5
        record = RequestRecord(f"r{next(self.counter)}", path, self.key or self.site.pick_key(self.random),
                               self.host.name, deadline)
        record.is_guilty = self.is_guilty
        record.idle_time, record.after_paused_read = record.sent - self.idle_since, self.has_paused
        if resumed is not None:
            record.resumes, record.resumed_after = resumed.id, last_event
            record.could_go_on = self.site.has_two_engines_of(resumed.body)
        self.site.requests.append(record)
        self.last = record
        header_lines = [
            f"POST {record.path} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {record.id}",
            f"Authorization: Bearer {record.key}",
            f"Deadline-Ms: {deadline * 1000:.0f}",
            *([f"Resumes: {record.resumes}", f"Last-Event-Id: {last_event}"] if resumed is not None else []),
            *self.prompt(path),
            "Content-Length: 4",
            "",
            # Prompts differ: one that is repeated while engines crash is refused as their cause.
            f"{next(self.counter):04}"[-4:] if path.startswith(("/prompt/", "/team/", "/chat/")) else "body",
        ]
        writer.write("\r\n".join(header_lines).encode())
        caller_leaves = self.random.random() < 0.05
        timeout = self.random.uniform(0.005, 0.2) if caller_leaves else deadline + 1.0
        # Callers of long requests disconnect at the end of the run.
        time_to_end = max(until - time.monotonic(), 0) + 1.0
        pause = self.random.uniform(1.6, 3.0) if path.startswith("/big/") else 0
        try:
            await asyncio.wait_for(self.read_answer(reader, record, pause), min(timeout, time_to_end))
        except asyncio.TimeoutError:
            record.caller_left = caller_leaves or time_to_end < timeout
            record.ended = time.monotonic()
            self.close_connection()

    async def read_answer(self, reader, record, pause):
        try:
            head = await read_head(reader)
            if head is None:
                self.close_connection()
                return
            record.status = int(head[0].split()[1])
            record.service = head[1].get("response-seal")
            self.retry_after = float(head[1].get("retry-after", "0"))
            received = bytearray()
            try:
                record.body = await read_body(reader, head[1], pause, received.extend)
            finally:
                record.body = record.body or bytes(received)
            record.complete = head[1].get("attempt-id") == record.id
            self.idle_since, self.has_paused = time.monotonic(), pause > 0
            if head[1].get("connection", "").lower() == "close":
                self.close_connection()
        finally:
            record.ended = time.monotonic()

"""Callers that keep their connections and note what they were told."""

import asyncio
import itertools
import time

from .http import read_body, read_head


class Told:
    """What one request's caller saw."""

    def __init__(self, request_id, path, key, host, deadline):
        self.id = request_id
        self.path = path
        self.deadline = deadline
        self.key = key
        self.host = host
        self.sent = time.monotonic()
        # How long its connection had rested, and whether the answer before was read with a pause.
        self.rested, self.after_pause = 0.0, False
        self.ended = None
        self.status = None
        self.service = None
        self.body = b""
        # Whole answer; False: the connection ended first.
        self.whole = False
        self.left = False


class Caller:
    counter = itertools.count(1)

    def __init__(self, site, rng, kinds=("/book/", "/book/", "/view/", "/stream/", "/resume/"), stubborn=False):
        self.site = site
        self.random = rng
        self.kinds = kinds
        # Goes to stopping hosts as long as their process is there.
        self.stubborn = stubborn
        self.rested_since, self.has_paused = 0.0, False
        self.connection = None
        self.host = None

    async def run(self, until):
        while time.monotonic() < until:
            rests = self.random.random() < 0.02
            await asyncio.sleep(self.random.uniform(0.5, 1.5) if rests else self.random.uniform(0.02, 0.12))
            try:
                await self.one_request(until)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.drop()
        self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None

    def pick_path(self):
        kind = self.random.choice(self.kinds)
        if kind == "/long/":
            return kind + str(self.random.randint(10, 100))
        # Half of the slow ones take nearly all of their deadline.
        return kind + (str(self.random.choice([self.random.randint(300, 2000), 2300])) if kind == "/slow/" else "x")

    async def one_request(self, until):
        if self.connection is None:
            ready = [h for h in self.site.hosts if h.is_ready]
            stopping = [h for h in self.site.hosts if self.stubborn and h.is_stopping and h.is_running()]
            if not ready and not stopping:
                return
            self.host = self.random.choice(stopping or ready)
            self.connection = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.host.front.port), 1
            )
            self.rested_since, self.has_paused = time.monotonic(), False
        reader, writer = self.connection
        path = self.pick_path()
        deadline = 12.0 if path.startswith(("/long/", "/big/")) else 2.5
        told = Told(f"r{next(self.counter)}", path, self.site.pick_key(self.random), self.host.name, deadline)
        told.rested, told.after_pause = told.sent - self.rested_since, self.has_paused
        self.site.told.append(told)
        lines = [
            f"POST {told.path} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {told.id}",
            f"Authorization: Bearer {told.key}",
            f"Deadline-Ms: {deadline * 1000:.0f}",
            "Content-Length: 4",
            "",
            "body",
        ]
        writer.write("\r\n".join(lines).encode())
        leaves = self.random.random() < 0.05
        patience = self.random.uniform(0.005, 0.2) if leaves else deadline + 1.0
        # At the run's end those of long requests leave.
        ending = max(until - time.monotonic(), 0) + 1.0
        pause = self.random.uniform(1.6, 3.0) if path.startswith("/big/") else 0
        try:
            await asyncio.wait_for(self.read_answer(reader, told, pause), min(patience, ending))
        except asyncio.TimeoutError:
            told.left = leaves or ending < patience
            told.ended = time.monotonic()
            self.drop()

    async def read_answer(self, reader, told, pause):
        try:
            head = await read_head(reader)
            if head is None:
                self.drop()
                return
            told.status = int(head[0].split()[1])
            told.service = head[1].get("response-seal")
            told.body = await read_body(reader, head[1], pause)
            told.whole = head[1].get("attempt-id") == told.id
            self.rested_since, self.has_paused = time.monotonic(), pause > 0
            if head[1].get("connection", "").lower() == "close":
                self.drop()
        finally:
            told.ended = time.monotonic()

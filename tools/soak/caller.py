"""Callers that keep their connections and note what they were told."""

import asyncio
import itertools
import time

from .http import read_body, read_head


class Told:
    """What one request's caller saw."""

    def __init__(self, request_id, path, key, host):
        self.id = request_id
        self.path = path
        self.key = key
        self.host = host
        self.sent = time.monotonic()
        self.ended = None
        self.status = None
        self.service = None
        self.body = b""
        # Whole answer; False: the connection ended first.
        self.whole = False
        self.left = False


class Caller:
    counter = itertools.count(1)

    def __init__(self, site, rng):
        self.site = site
        self.random = rng
        self.connection = None
        self.host = None

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.02, 0.12))
            try:
                await self.one_request()
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
                self.drop()
        self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None

    async def one_request(self):
        if self.connection is None:
            ready = [h for h in self.site.hosts if h.is_ready]
            if not ready:
                return
            self.host = self.random.choice(ready)
            self.connection = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.host.front.port), 1
            )
        reader, writer = self.connection
        kind = self.random.choice(["/book/", "/book/", "/view/", "/stream/", "/resume/"])
        told = Told(f"r{next(self.counter)}", kind + "x", self.site.pick_key(self.random), self.host.name)
        self.site.told.append(told)
        lines = [
            f"POST {told.path} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {told.id}",
            f"Authorization: Bearer {told.key}",
            "Deadline-Ms: 2500",
            "Content-Length: 4",
            "",
            "body",
        ]
        writer.write("\r\n".join(lines).encode())
        leaves = self.random.random() < 0.05
        patience = self.random.uniform(0.005, 0.2) if leaves else 3.5
        try:
            await asyncio.wait_for(self.read_answer(reader, told), patience)
        except asyncio.TimeoutError:
            told.left = leaves
            told.ended = time.monotonic()
            self.drop()

    async def read_answer(self, reader, told):
        try:
            head = await read_head(reader)
            if head is None:
                self.drop()
                return
            told.status = int(head[0].split()[1])
            told.service = head[1].get("response-seal")
            told.body = await read_body(reader, head[1])
            told.whole = head[1].get("attempt-id") == told.id
            if head[1].get("connection", "").lower() == "close":
                self.drop()
        finally:
            told.ended = time.monotonic()

"""The platform's read-only key-value store, with injected faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import make_response, read_head

OK, SILENT, BUSY, MOSTLY_BUSY, SLOW = "ok", "silent", "busy", "mostly_busy", "slow"
# A list comes in pages; the configuration stands on the first one.
PAGE_ITEMS = 4
# While it is mostly busy, the store serves one call in so many.
SERVED_OF = 12


class Store:
    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 10
        self.compacted_revision = 0
        self.mode = OK
        # What a store that refuses calls does.
        self.busy_mode = BUSY
        self.calls = 0
        # Rises each time the store comes back from a copy.
        self.era = 1
        # Watches hear nothing until then.
        self.deaf_until = 0.0
        # (time, state) before each change.
        self.copies = []
        self.changed = asyncio.Event()

    async def start_view(self, rewrite):
        """Starts a port at which the values of keys are read as `rewrite(key, value)`. Returns its number."""
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, rewrite), "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self._change({"key": key, "value": value})

    def remove(self, key):
        if key in self.items:
            self._change({"key": key, "tombstone": True})

    def _change(self, item):
        self.copies.append((time.monotonic(), self.revision, dict(self.items), list(self.log)))
        self.revision += 1
        item["revision"] = self.revision
        if item.get("tombstone"):
            self.items.pop(item["key"], None)
        else:
            self.items[item["key"]] = item
        self.log.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.compacted_revision = self.revision
        self.log.clear()

    def go_back(self, seconds):
        """Comes back from a copy of that age. Returns the changes that it lacks."""
        before = time.monotonic() - seconds
        newer = [copy for copy in self.copies if copy[0] > before]
        lost = {}
        if newer:
            _, self.revision, items, log = newer[0]
            lost = {k: self.items.get(k) for k in {*self.items, *items} if self.items.get(k) is not items.get(k)}
            self.items, self.log = dict(items), list(log)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.copies.clear()
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    def headers(self):
        return [f"Store-Era: {self.era}"]

    @staticmethod
    def encode(item, rewrite):
        if item.get("tombstone"):
            return item
        value = rewrite(item["key"], item["value"])
        return {**item, "value": base64.b64encode(json.dumps(value).encode()).decode()}

    async def serve(self, reader, writer, rewrite):
        try:
            while (head := await read_head(reader)) is not None:
                if self.mode == SILENT:
                    return await asyncio.sleep(3600)
                if self.mode == SLOW:
                    await asyncio.sleep(0.5)
                url = urlsplit(head[0].split()[1])
                query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
                self.calls += 1
                if self.mode == BUSY:
                    writer.write(make_response(503))
                elif self.mode == MOSTLY_BUSY and self.calls % SERVED_OF != 0:
                    writer.write(make_response(429))
                elif url.path == "/kv-range":
                    writer.write(self.read_range(query, rewrite))
                else:
                    writer.write(await self.watch(query, rewrite))
                await writer.drain()
        except (ConnectionError, OSError):
            pass

    def read_range(self, query, rewrite):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        page = keys[:PAGE_ITEMS]
        body = {"items": [self.encode(self.items[k], rewrite) for k in page], "more_pages": len(page) < len(keys),
                "store_revision": self.revision}
        return make_response(200, json.dumps(body).encode(), self.headers())

    async def watch(self, query, rewrite):
        after, era = int(query["after"]), self.era
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision or era != self.era:
                return make_response(410, b"{}", self.headers())
            is_deaf = time.monotonic() < self.deaf_until
            events = [] if is_deaf else [self.encode(e, rewrite) for e in self.log if e["revision"] > after]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                body = {"events": events, "store_revision": self.revision}
                return make_response(200, json.dumps(body).encode(), self.headers())
            try:
                await asyncio.wait_for(self.changed.wait(), min(remaining, 0.2))
            except asyncio.TimeoutError:
                pass

"""The platform's read-only key-value store, with injected faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import make_response, read_head

OK, SILENT, BUSY, SLOW = "ok", "silent", "busy", "slow"


class Store:
    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 10
        self.compacted_revision = 0
        self.mode = OK
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
                if self.mode == BUSY:
                    writer.write(make_response(503))
                elif url.path == "/kv-range":
                    writer.write(self.read_range(query, rewrite))
                else:
                    writer.write(await self.watch(query, rewrite))
                await writer.drain()
        except (ConnectionError, OSError):
            pass

    def read_range(self, query, rewrite):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        body = {"items": [self.encode(self.items[k], rewrite) for k in keys], "more_pages": False, "store_revision": self.revision}
        return make_response(200, json.dumps(body).encode())

    async def watch(self, query, rewrite):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted_revision:
                return make_response(410, b"{}")
            events = [self.encode(e, rewrite) for e in self.log if e["revision"] > after]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                body = {"events": events, "store_revision": self.revision}
                return make_response(200, json.dumps(body).encode())
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

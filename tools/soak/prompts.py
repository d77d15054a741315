"""Reads prompts as an engine does: one after the other, and shared parts once."""

import asyncio
import heapq
import itertools
import random
import time

# Prompt tokens that an engine of speed 1 reads in a second.
TOKENS_PER_SECOND = 60_000.0
SPEEDS = (0.6, 1.0, 1.6)
# An engine is slower by SLOWDOWN for SLOW_SECONDS out of each SLOW_PERIOD.
SLOWDOWN, SLOW_SECONDS, SLOW_PERIOD = 2.5, 0.6, 4.0


def parts_of(headers):
    """(id, tokens) of each part of a prompt; the last part is the request's own."""
    named = [part.rpartition(":") for part in headers.get("prompt-prefix", "").split(",") if part]
    return [(name, int(tokens)) for name, _, tokens in named]


class PromptReader:
    def __init__(self, engine, speed, seed):
        self.engine = engine
        self.speed = speed
        self.offset = random.Random(f"slow period {seed}").uniform(0.0, SLOW_PERIOD)
        self.order = itertools.count()
        # Heap of (priority, order, run, parts, future); `is_reading` while a task empties it.
        self.waiting, self.is_reading = [], False
        self.cached = set()

    def seconds(self, parts, at):
        tokens = sum(count for name, count in parts if name not in self.cached)
        slowdown = SLOWDOWN if (at + self.offset) % SLOW_PERIOD < SLOW_SECONDS else 1.0
        return tokens * slowdown / (TOKENS_PER_SECOND * self.speed)

    async def read(self, run, headers):
        """Returns when the prompt of the run has been read, or its caller is gone."""
        parts = parts_of(headers)
        if not parts:
            return
        done = asyncio.get_running_loop().create_future()
        priority = int(headers.get("request-priority", "0"))
        heapq.heappush(self.waiting, (priority, next(self.order), run, parts, done))
        if not self.is_reading:
            self.is_reading = True
            asyncio.ensure_future(self.read_waiting())
        await done

    async def read_waiting(self):
        # Adds durations up, so that late timers don't make the engine slower.
        at = time.monotonic()
        while self.waiting:
            _, _, run, parts, done = heapq.heappop(self.waiting)
            if run.ended is None:
                at = max(at, self.engine.silent_until)
                at += self.seconds(parts, at)
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                self.cached.update(name for name, _ in parts[:-1])
            if not done.done():
                done.set_result(None)
        self.is_reading = False

"""Teams that compete for the engines of one service, and the same teams at a second service without a burst.

The second service is the baseline: its engines, faults and usual load are the
same in the same seconds."""

import asyncio
import random

from .caller import Caller
from .prompts import SPEEDS
from .teams import BURST_SERVICE, DEMAND, SERVICES, key_of

SEED_OFFSET = 4_000_000
CHAT_CALLERS = 2
BURST_FACTOR = 6
# Bounds of a caller's pause before a request (s). In a burst they are shorter, since answers take longer then.
INTERVAL, BURST_INTERVAL = (0.2, 0.5), (0.02, 0.12)
# Usual load before a burst (s).
BEFORE_BURST = 2.0
ENGINE_SPEEDS = (*SPEEDS, 1.0)


def has_competing_teams(seed):
    return seed % 3 == 2


class Competition:
    """The load of one seed. All its draws are from a generator of its own."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed + SEED_OFFSET)
        # Engines of equal speed of both services, which fail together.
        self.pairs = []

    async def start_engines(self):
        for speed in self.random.sample(ENGINE_SPEEDS, len(ENGINE_SPEEDS)):
            seed = self.random.random()
            self.pairs.append([await self.site.add_team_engine(service, seed, speed) for service in SERVICES])

    def callers_of(self, team, service, count, interval=INTERVAL, waits=True):
        return [Caller(self.site, self.random, (f"/team/{service}/",), waits=waits, key=key_of(team),
                       interval=interval) for _ in range(count)]

    def usual_callers(self):
        chats = [Caller(self.site, self.random, (f"/chat/{service}/",), key=key_of(team), interval=INTERVAL)
                 for service in SERVICES for team in self.random.sample(sorted(DEMAND), CHAT_CALLERS)]
        return chats + [caller for service in SERVICES for team, count in DEMAND.items()
                        for caller in self.callers_of(team, service, count)]

    async def burst(self, until):
        """One team sends several times its usual load to one of the services, and doesn't wait as it is told."""
        await asyncio.sleep(BEFORE_BURST)
        team = self.random.choice([t for t, count in DEMAND.items() if count >= 3])
        self.site.bursts.append((team, self.site.now(), until))
        more = self.callers_of(team, BURST_SERVICE, DEMAND[team] * (BURST_FACTOR - 1), BURST_INTERVAL, waits=False)
        await asyncio.gather(*(caller.run(until) for caller in more))

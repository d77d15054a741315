"""The link between one host and one upstream, which can be cut."""

import asyncio
import socket

from .proxy import FaultProxy

OPEN, SILENT, RESETTING, REFUSING_NEW = "open", "silent", "resetting", "refusing_new"
CUTS = (SILENT, RESETTING, REFUSING_NEW)


class Link(FaultProxy):
    """Forwards connections of one host to one upstream. While it is cut, new connections are refused or, if it is
    silent, not answered; open ones are silent, reset, or live on."""

    def __init__(self, target_port, port):
        super().__init__(target_port)
        self.port = port
        self.state, self.is_target_up = OPEN, True
        self.fillers = []
        # Changes of state overlap; two at a time would both listen on the port.
        self.changing = asyncio.Lock()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, reuse_address=True)

    async def set_target_up(self, is_up):
        """While the upstream is down, connections are refused, as its own system would do."""
        self.is_target_up = is_up
        await self.set_state(self.state)

    async def set_state(self, state):
        self.state = state
        async with self.changing:
            await self.apply_state()

    async def apply_state(self):
        state = self.state
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if self.server is not None:
            self.server.close()
            self.server = None
        self.mode = "silent" if state == SILENT else "pass"
        if state == RESETTING:
            self.reset_all()
        if state == OPEN and self.is_target_up:
            await self.start()
        elif state == SILENT:
            self.fill_backlog()

    def fill_backlog(self):
        """Listens without accepting, with a full queue: the system then ignores further connections."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self.fillers = [listener]
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

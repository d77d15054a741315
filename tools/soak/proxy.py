"""A loopback proxy that disturbs connections as scheduled."""

import asyncio
import socket

from .http import reset

PASS, DELAY, SILENT, ONE_WAY, REFUSE = "pass", "delay", "silent", "one_way", "refuse"
BUFFER_BYTES = 131_072


class FaultProxy:
    """Forwards one port to another. `mode` also applies to open connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = PASS
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        # Small buffers propagate the back-pressure of a caller that does not read.
        self.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        if self.mode == REFUSE:
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self.forward_data(reader, target_writer, True), self.forward_data(target_reader, writer, False)
        )
        self.writers -= {writer, target_writer}

    async def forward_data(self, reader, writer, is_forward):
        try:
            while data := await reader.read(65536):
                if self.mode == DELAY:
                    await asyncio.sleep(0.2)
                while self.mode == SILENT or (self.mode == ONE_WAY and is_forward):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)

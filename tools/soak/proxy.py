"""A loopback proxy that harms connections as the schedule says."""

import asyncio
import socket

PASS, DELAY, SILENT, ONE_WAY, REFUSE = "pass", "delay", "silent", "one_way", "refuse"
BUFFER_BYTES = 131_072


class FaultProxy:
    """Forwards one port to another; `mode` holds for open connections too."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = PASS
        self.pairs = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        # Small buffers: a caller that reads nothing is felt on the other side.
        self.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)

    def reset_all(self):
        for writer in list(self.pairs):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, far_writer}
        await asyncio.gather(
            self.pump(reader, far_writer, True), self.pump(far_reader, writer, False)
        )
        self.pairs -= {writer, far_writer}

    async def pump(self, reader, writer, forward):
        try:
            while data := await reader.read(65536):
                if self.mode == DELAY:
                    await asyncio.sleep(0.2)
                while self.mode == SILENT or (self.mode == ONE_WAY and forward):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()

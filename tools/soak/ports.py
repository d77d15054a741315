"""Ports that stay reserved for a run while its hosts restart.

The kernel may assign a free ephemeral port to another process before a host
listens on it again, and two concurrent runs then talk to each other. These
ports are below the ephemeral range, in blocks. A run reserves a block by
listening on its first port."""

import os
import socket

FIRST, LAST, BLOCK = 12_000, 32_000, 1_000


class PortBlock:
    def __init__(self):
        count = (LAST - FIRST) // BLOCK
        for attempt in range(count):
            base = FIRST + BLOCK * ((os.getpid() + attempt) % count)
            self.lock = socket.socket()
            try:
                self.lock.bind(("127.0.0.1", base))
                self.lock.listen()
            except OSError:
                self.lock.close()
                continue
            self.next = base
            return
        raise RuntimeError("no block of ports is free; run fewer soaks concurrently")

    def allocate(self):
        """Returns the next free port."""
        while True:
            self.next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue

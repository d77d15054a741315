"""Ports that stay a run's own while its hosts stop and start.

A port that the kernel has just had free may go to any other process before a
host listens on it again, and two runs side by side then talk to each other.
These ports lie below those that the kernel hands out, in blocks; a run keeps
a block by listening on its first port."""

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
        raise RuntimeError("no block of ports is free: run fewer soaks at once")

    def take(self):
        """The next port that nobody listens on."""
        while True:
            self.next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue

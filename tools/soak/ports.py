"""Ports that stay reserved for a run while its hosts restart.

The kernel may assign a free ephemeral port to another process before a host
listens on it again, and two concurrent runs then talk to each other. These
ports are below the ephemeral range, in blocks. A run reserves a block by
listening on its first port."""

import os
import socket

FIRST, LAST, BLOCK = 12_000, 32_000, 1_000
# In the second part of a block: the ports of upstreams, and behind them those of each host's links to them, in the same
# order.
LINKS, LINKS_OF_ONE = 200, 100
MAX_HOSTS = (BLOCK - LINKS) // LINKS_OF_ONE - 1


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


def link_offset(host):
    """From the port of an upstream to that of a host's link to it."""
    return LINKS_OF_ONE * (host + 1)


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
            self.first_link = base + LINKS
            self.next_link = self.first_link
            return
        raise RuntimeError("no block of ports is free; run fewer soaks concurrently")

    def allocate(self):
        """Returns the next free port."""
        while True:
            self.next += 1
            if self.next >= self.first_link:
                raise RuntimeError("the block has no port left; use fewer hosts or a shorter run")
            if is_free(self.next):
                return self.next

    def allocate_upstream(self, hosts):
        """Returns the next port of an upstream that is free with those of the hosts' links to it."""
        while True:
            port = self.next_link
            self.next_link += 1
            if port >= self.first_link + LINKS_OF_ONE:
                raise RuntimeError("the block has no port left for an upstream; use fewer of them")
            if all(is_free(port + link_offset(host)) for host in range(-1, hosts)):
                return port

    def mapping_of(self, host):
        """How connections of a host are led through its links; see link_map.cpp."""
        return f"{self.first_link},{self.first_link + LINKS_OF_ONE},{link_offset(host)}"

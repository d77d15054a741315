"""Minimal HTTP/1.1 for the upstreams and callers of the soak."""

import asyncio
import socket
import struct


async def read_head(reader):
    """The first line and the headers (names in lower case), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode().rstrip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, pause=0, on_chunk=None):
    """The body as bytes, with a pause in the middle; raises IncompleteReadError if the connection ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\n")).strip() or b"0", 16)
            chunk = await reader.readexactly(size)
            body += chunk
            if on_chunk is not None:
                on_chunk(chunk)
            await reader.readexactly(2)
            if size == 0:
                return body
    size = int(headers.get("content-length", "0"))
    if not pause:
        return await reader.readexactly(size)
    first_part = await reader.readexactly(size // 4)
    await asyncio.sleep(pause)
    return first_part + await reader.readexactly(size - size // 4)


def make_response(status, body=b"", headers=(), is_framed=True):
    """An answer with its length, or one that ends with its connection."""
    lines = [f"HTTP/1.1 {status} X", *([f"Content-Length: {len(body)}"] if is_framed else []), *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Ends a connection with a reset. Without the option the system closes it as if all had been sent, also one that is
    closing and has not sent all."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def ignore_errors(task):
    """Awaits a task and ignores errors of its connection."""
    try:
        return await task
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None

"""What callers hold of a stream, over the attempts that they take it up with."""

import re

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+ (\S+)\n\n")
VERSION = re.compile(r"^(data: \S+ \d+) \S+$", re.MULTILINE)


def make_event(run, number):
    """The text of an event names the software version of the engine that generated it."""
    return f"id: {number}\ndata: {run.id} {number} {run.version}\n\n".encode()


def without_versions(text):
    return VERSION.sub(r"\1", text)


def expected_text(request_id, numbers):
    """The events of a stream, without versions."""
    return "".join(f"id: {n}\ndata: {request_id} {n}\n\n" for n in numbers)


def last_event_id(body):
    """The id of the last complete event, or 0."""
    events = EVENT.findall(body)
    return int(events[-1][0]) if events else 0


def versions(body):
    return {version.decode() for _, _, version in EVENT.findall(body)}

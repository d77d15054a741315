"""A host starts while the store turns most of its calls away. Is a key that was taken away meanwhile still used?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, Engine, Store, ask, make_hosts, run_case  # noqa: E402

# With trouble, the store answers one call in so many of this host, for so long; the others get 429.
SERVED_OF, TROUBLE_S = 12, 9.0
ROUTES = 2_600


def configuration(version, keys):
    routes = [{"name": f"desk-{number}", "host": "desk.example", "prefix": f"/desk-{number:05}-{'x' * 60}/",
               "route_type": "idempotent", "service": "order-ledger", "max_attempts": 1, "timeout_ms": 800,
               "target_latency_ms": 120, "priority": 2, "stream_resume": False, "public": False,
               "session_affinity": False} for number in range(ROUTES)]
    routes.append({"name": "ledger-view", "host": "desk.example", "prefix": "/ledger/", "route_type": "idempotent",
                   "service": "order-ledger", "max_attempts": 1, "timeout_ms": 800, "target_latency_ms": 120,
                   "priority": 2})
    return {"version": version, "routes": routes,
            "services": [{"name": "order-ledger", "health_path": "/health", "max_connections": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "sapporo", "api_keys": keys}]}


async def case(record, folder):
    store = Store(record)
    await store.start()
    store.put("op/config", configuration(2, ["key-kept", "key-leaked"]))
    engine = Engine("i-1", "order-ledger", store, record, lambda path: (0.01, b"l" * 800))
    await engine.start()
    engine.register()
    record.write(f"the configuration is an item of {len(store.items['op/config']['value'])} bytes")
    host, = make_hosts(1, store, folder)
    calls = {"seen": 0, "until": None}
    first_page = asyncio.Event()

    def answer_status(path, query, peer):
        if not TROUBLE or (calls["until"] is not None and time.monotonic() > calls["until"]):
            return None
        calls["until"] = calls["until"] or time.monotonic() + TROUBLE_S
        calls["seen"] += 1
        return None if calls["seen"] % SERVED_OF == 1 else 429

    def on_call(path, query, peer, status):
        asked = {name: value for name, value in query.items() if name != "prefix"}
        record.write(f"store answers {status or 200} to {path} {asked}")
        if path == "/kv-range" and status is None and not query.get("after"):
            first_page.set()

    store.answer_status, store.on_call = answer_status, on_call
    answers = []
    revoked_at = None
    try:
        host.start()
        await asyncio.wait_for(first_page.wait(), 20)
        await asyncio.sleep(0.2)
        revoked_at = store.put("op/config", configuration(5, ["key-kept"]))
        record.write("the store acknowledges version 5, which takes key-leaked away")
        number = 0
        while time.monotonic() < revoked_at + 14:
            for key in ("key-leaked", "key-kept"):
                number += 1
                identity = f"a{number}"
                sent = time.monotonic()
                answer = await ask(host, "GET", "/ledger/x", identity, key, 800)
                answers.append((sent - revoked_at, key, identity, answer.status))
                record.write(f"sent {identity} with {key} {sent - revoked_at:.3f} s after the acknowledgement,"
                             f" got {answer.status}")
            await asyncio.sleep(0.05)
    finally:
        host.end()
    ran = {run[1] for run in engine.runs}
    late = [item for item in answers if item[1] == "key-leaked" and item[0] > BOUNDS["revoke_ms"] / 1000
            and item[2] in ran]
    kept = [item for item in answers if item[1] == "key-kept" and item[3] == 200]
    record.write(f"{len(answers)} requests sent; {len(kept)} with the kept key served; with the key taken away"
                 f" {len(late)} ran that were sent over {BOUNDS['revoke_ms']} ms after the acknowledgement")
    if not kept:
        return NOT_RUN
    return BROKEN if late else HELD


run_case(case, HERE)

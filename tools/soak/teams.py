"""Teams of different demand, and the services that they send prompts to."""

BURST_SERVICE, BASELINE_SERVICE = "s2", "s3"
SERVICES = (BURST_SERVICE, BASELINE_SERVICE)
# Targets of the first events of prompts (s).
TARGETS = {"team": 1.5, "chat": 0.4}
# Callers of each team at each service.
DEMAND = {"t0": 1, "t1": 2, "t2": 2, "t3": 3, "t4": 4, "t5": 5}


def key_of(team):
    return f"key-{team}"


def configured_teams():
    return [{"name": team, "api_keys": [key_of(team)]} for team in DEMAND]


def services(slots):
    """They state what their engines hold, as services with engines do."""
    return [{"name": service, "max_connections": 500, "engine": {"slots": slots, "kv_capacity": 200_000}}
            for service in SERVICES]


def routes(timeout_ms):
    """Of both services: long prompts, and chats, which are more urgent."""
    kinds = {"/team/": (6, TARGETS["team"] * 1000, 0), "/chat/": (5, TARGETS["chat"] * 1000, 200)}
    return [
        {"name": f"{kind}{service}/", "host": "desk.example", "prefix": f"{kind}{service}/", "route_type": "streaming",
         "max_attempts": 1, "timeout_ms": timeout_ms, "target_latency_ms": int(target), "gap_aim_ms": gap,
         "priority": priority, "session_affinity": True, "service": service}
        for kind, (priority, target, gap) in kinds.items() for service in SERVICES
    ]


def prompt(path, key, number):
    """Headers of a prompt: a part that the requests of a team share, and a part of its own."""
    shared, own = (1000, 5000) if path.startswith("/team/") else (200, 100)
    return ["Model: m", f"Token-Usage: {shared + own},20", f"Prompt-Prefix: {path[1]}{key}:{shared},f{number}:{own}"]

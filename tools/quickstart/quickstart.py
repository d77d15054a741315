"""Starts stand-ins and two hosts on loopback, sends real requests through
them, and prints the result of each. Exits with 0 if all results are correct."""

import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / os.environ.get("BUILD", "build") / "bin"
EXAMPLE = ROOT / "examples" / "kitanomine"
KEYS = {
    "desk": "allocation-desk-1.7ad8757071818535b9e6d003",
    "flagship": "sapporo-odori-1.449145dec704c74dec422578",
    "shop": "otaru-canal-1.3f9d3da19de274370abe11b8",
}
MODEL = "cellar-drafter"
TIMEOUT_S = 10


class Process:
    """A program of this repository. Its output goes to a log file, from which
    its ports are read."""

    def __init__(self, folder, name, command):
        self.name = name
        self.log = folder / f"{name}.log"
        with open(self.log, "wb") as out:
            self.child = subprocess.Popen(
                [str(part) for part in command], stdout=out, stderr=out
            )

    def port(self, field):
        pattern = re.compile(rf"event=listening .*\b{field}=(\d+)")
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            found = pattern.search(self.log.read_text())
            if found:
                return int(found.group(1))
            if self.child.poll() is not None:
                break
            time.sleep(0.01)
        raise SystemExit(f"{self.name} did not start:\n{self.log.read_text()}")

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        return self.child.wait(TIMEOUT_S)


def request(port, method, path, body=None, headers=None):
    """Returns status, headers and body of one HTTP call on loopback."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request(method, path, body, headers or {})
    answer = connection.getresponse()
    text = answer.read().decode()
    connection.close()
    return answer.status, answer.headers, text


def address(port):
    return {"address": "127.0.0.1", "port": port}


def start_upstreams(folder):
    engines = []
    for number in (1, 2, 3):
        engines.append(
            Process(folder, f"engine-{number}",
                    [BIN / "stand_in", "engine", f"--name=engine-{number}",
                     f"--models={MODEL}", "--tokens_per_second=50"]))
    ledger = Process(folder, "ledger", [BIN / "stand_in", "service"])
    listed = {"engines": [], "services": []}
    for engine in engines:
        listed["engines"].append({
            "name": engine.name, "region": "doo-west",
            "data_centre": "otaru-a", "models": [MODEL], "slots": 8,
            "address": address(engine.port("port"))})
    listed["services"].append({
        "service": "ledger", "name": "ledger-1", "region": "doo-west",
        "data_centre": "otaru-a", "address": address(ledger.port("port"))})
    return engines, ledger, listed


def start_platform(folder, listed):
    (folder / "hosts.json").write_text('{"hosts": []}')
    (folder / "upstreams.json").write_text(json.dumps(listed))
    return Process(folder, "platform", [
        BIN / "stand_in", "platform",
        f"--plans={EXAMPLE / 'plans.json'}",
        f"--entitlements={EXAMPLE / 'entitlements.json'}",
        f"--hosts={folder / 'hosts.json'}",
        f"--upstreams={folder / 'upstreams.json'}"])


def start_host(folder, number, platform_port):
    return Process(folder, f"host-{number}", [
        BIN / "caperjunction", "serve", f"--host_name=host-{number}",
        "--region=doo-west", "--data_centre=otaru-a",
        "--listen=127.0.0.1:0", "--admin_listen=127.0.0.1:0",
        "--peer_listen=127.0.0.1:0", f"--platform=127.0.0.1:{platform_port}",
        "--peer_secret=only-for-this-quickstart-0123456789",
        "--first_fleet", "--drain_delay=300ms"])


def publish_hosts(platform_port, hosts):
    listed = {"hosts": [{
        "name": host.name, "region": "doo-west", "data_centre": "otaru-a",
        "callers": address(host.port("callers_port")),
        "peers": address(host.port("peer_port"))} for host in hosts]}
    request(platform_port, "PUT", "/control/values/hosts", json.dumps(listed))


def wait_until(done, what):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if done():
            return
        time.sleep(0.02)
    raise SystemExit(f"timed out waiting until {what}")


def sees_both_hosts(host):
    status, _, text = request(host.port("admin_port"), "GET", "/status")
    alive = json.loads(text).get("hosts", {}) if status == 200 else {}
    ready, _, _ = request(host.port("admin_port"), "GET", "/readyz")
    return ready == 200 and list(alive.values()).count("alive") == 2


def stream(port, tier, tokens, rows):
    body = json.dumps({
        "model": MODEL, "stream": True, "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"A letter for {tier}."}]})
    started = time.monotonic()
    status, headers, text = request(
        port, "POST", "/v1/chat/completions", body,
        {"Authorization": f"Bearer {KEYS[tier]}"})
    numbers = [int(n) for n in re.findall(r'"content":"t(\d+)-', text)]
    is_complete = numbers == list(range(tokens)) and "data: [DONE]" in text
    rows.append({
        "what": f"{tier} stream of {tokens} tokens", "status": status,
        "outcome": "ran, whole" if is_complete else "cut off",
        "seconds": time.monotonic() - started, "sound": is_complete,
        "id": headers["caperjunction-request-id"]})


def run_streams(ports, tiers, tokens, rows):
    threads = []
    for index, tier in enumerate(tiers):
        port = ports[index % len(ports)]
        thread = threading.Thread(
            target=stream, args=(port, tier, tokens, rows))
        thread.start()
        threads.append(thread)
    return threads


def book(port, key, rows, is_correct):
    started = time.monotonic()
    status, headers, text = request(
        port, "POST", "/services/ledger/reservations", '{"cases": 1}',
        {"Authorization": f"Bearer {KEYS['desk']}", "Idempotency-Key": key})
    outcome = headers["caperjunction-outcome"]
    rows.append({
        "what": f"booking {key}", "status": status, "outcome": outcome,
        "seconds": time.monotonic() - started,
        "sound": is_correct(outcome, text),
        "id": headers["caperjunction-request-id"]})
    return text


def print_table(rows):
    print(f"{'request':<36} {'status':>6} {'outcome':<12} {'seconds':>8}")
    for row in rows:
        print(f"{row['what']:<36} {row['status']:>6} {row['outcome']:<12} "
              f"{row['seconds']:>8.2f}{'' if row['sound'] else '  WRONG'}")


def print_explanation(port, request_id):
    print("\nexplanation of the first booking:")
    sys.stdout.flush()
    subprocess.run(
        [BIN / "caperjunction", "explain", request_id,
         f"--admin=127.0.0.1:{port}"], check=False)


def run_requests(folder, processes):
    engines, ledger, listed = start_upstreams(folder)
    processes += engines + [ledger]
    platform = start_platform(folder, listed)
    processes.append(platform)
    platform_port = platform.port("port")
    hosts = [start_host(folder, n, platform_port) for n in (1, 2)]
    processes += hosts
    publish_hosts(platform_port, hosts)
    wait_until(lambda: all(sees_both_hosts(host) for host in hosts),
               "both hosts see each other")
    ports = [host.port("callers_port") for host in hosts]

    rows = []
    for thread in run_streams(ports, list(KEYS) * 3, 20, rows):
        thread.join()
    first = book(ports[0], "order-1", rows, lambda o, _: o == "ran")
    book(ports[1], "order-1", rows,
         lambda o, text: o == "ran" and text == first)
    _, _, executed = request(
        ledger.port("port"), "GET", "/control/executions")
    runs_once = json.loads(executed).get("order-1") == 1

    running = run_streams([ports[1]], list(KEYS), 60, rows)
    time.sleep(0.2)
    status = hosts[1].stop()
    for thread in running:
        thread.join()
    rows.sort(key=lambda row: row["what"])
    print_table(rows)
    print(f"\nthe repeated booking was executed "
          f"{json.loads(executed).get('order-1')} time(s)")
    print(f"host-2 was stopped while it streamed; exit status {status}")
    print_explanation(hosts[0].port("admin_port"), next(
        row["id"] for row in rows if row["what"].startswith("booking")))
    return runs_once and status == 0 and all(row["sound"] for row in rows)


def main():
    processes = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            is_correct = run_requests(folder, processes)
        finally:
            for process in reversed(processes):
                process.stop()
        if not is_correct:
            for process in processes:
                if process.name.startswith("host"):
                    print(process.log.read_text(), file=sys.stderr)
    print("\nall as promised" if is_correct else "\nNOT as promised")
    return 0 if is_correct else 1


if __name__ == "__main__":
    sys.exit(main())

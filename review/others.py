"""Faults that the review found and that are not among its five cases.

Usage: ``python3 -B review/others.py NAME [0]``, after the build of the deploy file; 0
leaves the disruption out. Exits with 1 if the fault shows, with 0 if it does not, and
with 2 if it could not run. Writes to ``record.txt`` in this folder.
"""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

from stand_ins import (
    HOST, CannotRun, Deployment, Outcome, Server, ask, call, configuration, encode_answer,
    read_body, read_head, route, run_case,
)

FOLDER = Path(__file__).resolve().parent
ORDERS = route("spice-order", "/order/", "non_idempotent", "orders", 5.0, 2)
#: Two machines with orders servers, and one beside which the clients are.
MACHINES = [("side-1", "orders", "midrand"), ("side-2", "orders", "midrand"),
            ("side-3", "recipes", "midrand")]
ORDER_S = 0.1
ZONES = ("midrand", "centurion", "randburg", "germiston")
UPGRADE_OFFER = [("Connection", "Upgrade, HTTP2-Settings"), ("Upgrade", "h2c"),
                 ("HTTP2-Settings", "AAMAAABkAARAAAAAAAIAAAAA")]


async def start(record, folder, nodes, server_class=Server, slots=20):
    deployment = Deployment(record, folder, nodes)
    await deployment.start([ORDERS], MACHINES, server_class, slots, lambda *_: ORDER_S)
    return deployment


async def order(nodes, record, rid, headers=()):
    return await ask(nodes[2].entry, "POST", f"/order/{rid}", rid, 5.0, record,
                     b"two boxes", headers)


async def drain(record, folder, nodes, has_trouble):
    """DRAIN: a killed node forgets a departure that it had acknowledged.

    The server leaves by DELETE and serves on; the node beside it is killed. A report
    that the server sent before arrives 3 s after the departure.
    """
    deployment = await start(record, folder, nodes)
    server, node = deployment.servers[0], nodes[0]
    late_report = server.beat_body()
    server.stop_beats()
    record.add("departure", acknowledged=await server.send_departure())
    left_at = time.monotonic()
    if has_trouble:
        node.kill()
        await asyncio.sleep(0.5)
        node.start()
    await asyncio.sleep(max(0.0, left_at + 3.5 - time.monotonic()))
    record.add("late report", acknowledged=await server.send_beat(late_report))
    # The restarted machine is in touch again after 3 s.
    await asyncio.sleep(max(0.0, left_at + 6.0 - time.monotonic()))
    for number in range(30):
        await order(nodes, record, f"order-{number}")
    await deployment.stop()
    n_reached = len(server.runs)
    return [f"DRAIN: {n_reached} of 30 orders reach a server over 6 s after the ack of "
            "its departure"] if n_reached else []


class BodyServer(Server):
    """A server that keeps the bodies of its requests."""

    bodies: dict[str, bytes] = {}

    async def answer(self, request, reader, writer):
        rid = request.headers.get("knapweedspring-request-id", "")
        self.bodies[rid] = request.body
        return await super().answer(request, reader, writer)


async def upgrade(record, folder, nodes, has_trouble):
    """UNASKED: an order whose client offers an upgrade runs with an empty body."""
    deployment = await start(record, folder, nodes, BodyServer)
    headers = UPGRADE_OFFER if has_trouble else ()
    outcomes = [await order(nodes, record, f"order-{n}", headers) for n in range(20)]
    await deployment.stop()
    changed = [o for o in outcomes if BodyServer.bodies.get(o.rid) == b""]
    n_done = sum(outcome.status == 200 for outcome in changed)
    return [f"UNASKED: {len(changed)} of 20 orders run with an empty body, {n_done} of "
            "them are answered 200"] if changed else []


class WireServer(Server):
    """A server whose rejections carry no id, as ``fleetbench wire`` prints them.

    It rejects every second order. While the next order runs on the same connection, a
    second copy of the rejection arrives.
    """

    copies = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._rejected = set()
        self._n_orders = 0
        self._pending = set()

    def rejects(self, rid):
        self._n_orders += 1
        if self.copies and self._n_orders % 2 and rid not in self._rejected:
            self._rejected.add(rid)
            return True
        return False

    async def answer(self, request, reader, writer):
        if writer in self._pending:
            self._pending.discard(writer)
            asyncio.get_running_loop().call_later(0.03, self._send_copy, writer)
        return await super().answer(request, reader, writer)

    def send_rejection(self, writer, rid):
        self._send(writer, 503, [("Knapweedspring-Not-Executed", "1")])
        self._pending.add(writer)

    def _send_copy(self, writer):
        self._record.add("server sends a second copy", server=self.instance)
        self._send(writer, 503, [("Knapweedspring-Not-Executed", "1")])


async def rejections(record, folder, nodes, has_trouble):
    """TWICE: a late copy of a rejection without id is taken for the next answer."""
    deployment = await start(record, folder, nodes, WireServer)
    WireServer.copies = has_trouble
    outcomes = [await order(nodes, record, f"order-{n}") for n in range(30)]
    await deployment.stop()
    runs = [rid for server in deployment.servers for rid in server.runs]
    twice = [o.rid for o in outcomes if runs.count(o.rid) > 1]
    return [f"TWICE: {len(twice)} of 30 orders ran twice"] if twice else []


class DownloadServer(Server):
    """A sound server with answers of 150 kB."""

    async def answer(self, request, reader, writer):
        rid = request.headers.get("knapweedspring-request-id", "")
        self.finished.append(rid)
        writer.write(encode_answer(200, [("Knapweedspring-Request-Id", rid),
                                         ("Knapweedspring-Server-Seal", "seal")],
                                   b"z" * (150_000 if self.is_large else 15_000)))
        await writer.drain()
        return True

    is_large = False


async def paused(record, folder, nodes, has_trouble):
    """Requests that sound servers answered get 504 after an answer of 150 kB."""
    deployment = await start(record, folder, nodes, DownloadServer)
    DownloadServer.is_large = has_trouble
    outcomes = [await order(nodes, record, f"order-{n}") for n in range(12)]
    await deployment.stop()
    finished = {rid for server in deployment.servers for rid in server.finished}
    lost = [o.rid for o in outcomes if o.status != 200 and o.rid in finished]
    return [f"{len(lost)} of 12 orders that servers answered got no answer before their "
            "deadline"] if lost else []


class EndlessServer(Server):
    """A server that rejects with a body that has no end, until the caller closes."""

    is_faulty = False
    n_open = 0

    async def answer(self, request, reader, writer):
        rid = request.headers.get("knapweedspring-request-id", "")
        if not self.is_faulty:
            return await super().answer(request, reader, writer)
        writer.write(
            f"HTTP/1.1 503 X\r\nKnapweedspring-Request-Id: {rid}\r\n"
            "Knapweedspring-Not-Executed: 1\r\nContent-Length: 1000000000\r\n\r\n".encode()
        )
        try:
            while not writer.transport.is_closing():
                writer.write(b"z" * 8_192)
                await asyncio.wait_for(writer.drain(), 3.0)
        except (ConnectionError, TimeoutError):
            pass
        # It closes a connection on which nothing is read for 3 s.
        writer.transport.abort()
        return False


async def slots(record, folder, nodes, has_trouble):
    """Slots of a gate stay taken after rejections with bodies that have no end."""
    deployment = await start(record, folder, nodes, EndlessServer, slots=4)
    EndlessServer.is_faulty = has_trouble
    for number in range(10):
        await order(nodes, record, f"bad-{number}")
    EndlessServer.is_faulty = False
    await asyncio.sleep(8.0)
    outcomes = await asyncio.gather(*(order(nodes, record, f"good-{n}") for n in range(6)))
    n_served = sum(outcome.status == 200 for outcome in outcomes)
    n_taken = 0
    for node in nodes[:2]:
        page = await call(node.settings["metrics_address"], "GET", "/metrics", [], b"")
        line = [x for x in page.body.decode().splitlines() if x.startswith("gate_running")]
        n_taken += round(float(line[0].split()[-1]))
    record.add("8 s later", served=n_served, slots_taken=n_taken)
    await deployment.stop()
    return [f"8 s after the last rejection {n_taken} slots of idle servers are taken; "
            f"{n_served} of 6 orders are served"] if n_taken else []


class SlowServer(Server):
    """A server that sends the last part of a download half a second later."""

    async def answer(self, request, reader, writer):
        rid = request.headers.get("knapweedspring-request-id", "")
        data = encode_answer(200, [("Knapweedspring-Request-Id", rid),
                                   ("Knapweedspring-Server-Seal", "seal")], DOWNLOAD)
        writer.write(data[:-20_000])
        await asyncio.sleep(0.5)
        writer.write(data[-20_000:])
        await writer.drain()
        return True


DOWNLOAD = b"z" * 100_000


async def expect(record, folder, nodes, has_trouble):
    """MIXED: "100 Continue" is written into an answer that still arrives."""
    deployment = Deployment(record, folder, nodes)
    rules = [route("book-bundle", "/bundle/", "download", "orders", 5.0, 2)]
    await deployment.start(rules, MACHINES, SlowServer, 20, None)
    n_changed = 0
    host, port = nodes[2].entry.rsplit(":", 1)
    for number in range(10):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        start_of_both = (f" /bundle/b HTTP/1.1\r\nHost: {HOST}\r\n"
                         "Knapweedspring-Deadline-Ms: 5000\r\n")
        writer.write(f"GET{start_of_both}Knapweedspring-Request-Id: b-{number}\r\n"
                     "\r\n".encode())
        await read_head(reader)
        if has_trouble:
            writer.write(f"POST{start_of_both}Knapweedspring-Request-Id: p-{number}\r\n"
                         "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n".encode())
        body = await reader.readexactly(len(DOWNLOAD))
        n_changed += body != DOWNLOAD
        writer.close()
    await deployment.stop()
    return [f"MIXED: {n_changed} of 10 downloads have status 200 and other "
            "bytes"] if n_changed else []


async def hide(record, folder, nodes, has_trouble):
    """Entries of another writer with a gate's address hide the gate.

    They name a service that isn't declared and a later start than the true entries.
    """
    deployment = await start(record, folder, nodes)
    for number, node in enumerate(nodes[:2] if has_trouble else ()):
        spec = dict(deployment.store.spec_of("knapweedspring-gates", node.name))
        spec.update(node=f"other-{number}", service="nobody", born_ms=spec["born_ms"] + 1)
        deployment.store.put("knapweedspring-gates", f"other-{number}", spec)
    await asyncio.sleep(3.0)
    outcomes = [await order(nodes, record, f"order-{n}") for n in range(20)]
    await deployment.stop()
    n_served = sum(outcome.status == 200 for outcome in outcomes)
    return [f"{n_served} of 20 orders are served"] if n_served < 20 else []


async def watch(record, folder, nodes, has_trouble):
    """CONFIG: a watch whose answer was lost counts as a working one.

    Four data centres with four machines each. For 2 s the store sends no answers to the
    machines that watch it, one in each data centre, and a connection on which an answer
    is lost returns nothing further. A route moves meanwhile.
    """
    deployment = Deployment(record, folder, nodes)
    store, answers = deployment.store, deployment.store.answer
    silent_until, watched, lost = 0.0, set(), set()

    async def lose(request, reader, writer):
        if "watch=" in request.start:
            watched.add(writer)
        kept = []
        is_kept = await answers(request, reader, _Sink(kept))
        if writer in watched and time.monotonic() < silent_until:
            lost.add(writer)
        if writer in lost:
            await asyncio.sleep(60.0)
            return False
        for data in kept:
            writer.write(data)
        await writer.drain()
        return is_kept

    store.answer = lose
    machines = [(f"{service}-{zone}-{number}", service, zone) for zone in ZONES
                for service in ("orders", "recipes") for number in (1, 2)]
    await deployment.start([ORDERS], machines, Server, 20, lambda *_: ORDER_S)
    silent_until = time.monotonic() + 2.0 if has_trouble else 0.0
    await asyncio.sleep(1.0)
    moved = route("spice-order", "/order/", "non_idempotent", "recipes", 5.0, 2)
    store.put("config", "main", configuration(8, [moved], ["orders", "recipes"]))
    acked_at = time.monotonic()
    broken = []
    # At 8 s, the store has been stable for contact_s and stretch_max_s is over too.
    for after_s in (8.0, 18.0):
        await asyncio.sleep(max(0.0, acked_at + after_s - time.monotonic()))
        rids = [f"order-{after_s:.0f}-{number}" for number in range(len(nodes))]
        for rid, node in zip(rids, nodes):
            await ask(node.entry, "POST", f"/order/{rid}", rid, 5.0, record, b"two boxes")
        old = [rid for server, (_, service, _) in zip(deployment.servers, machines)
               if service == "orders" for rid in server.runs if rid in rids]
        record.add("orders", after_s=after_s, at_the_old_service=len(old))
        if old:
            broken.append(f"CONFIG: {len(old)} of {len(rids)} orders sent over "
                          f"{after_s:.0f} s after the ack run at the old service")
    await deployment.stop()
    return broken


class _Sink:
    """Keeps the bytes of an answer that is perhaps not sent."""

    def __init__(self, kept):
        self._kept = kept

    def write(self, data):
        self._kept.append(data)

    async def drain(self):
        pass


#: The tenant of the example that ``fleetbench wire`` prints, and the bounds of its
#: deployment (shifted/LATER.md).
KEY, PER_S, BURST = "th5mgjy5rcpihhacrudd", 124, 124
TENANT = {"name": "pulo780", "api_keys": [KEY], "priority": 1, "per_s": PER_S, "burst": BURST}
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
QUOTA = (PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
QUOTA_SETTINGS = {"quota_window_s": WINDOW_S, "quota_excess": EXCESS, "quota_slack": SLACK,
                  "in_force_s": 2.5, "refuses_when_stale": False, "stale_after_s": 5}
#: Latency target and deadline of ``catalogue-browse`` there.
BROWSE = route("catalogue-browse", "/browse/", "idempotent", "catalogue", 8.0, 2, 2, 2.078)
#: Requests of the tenant: five times its usual, which is its allotment divided by 1.6.
DEMAND_PER_S = 400
#: Time from the first request to the stops, and to the last request, in seconds.
STOP_AFTER_S, SEND_S = 2.7, 5.6
#: Time from a stop until the clients of the machine have moved away, in seconds.
MOVED_AFTER_S = 2.0


class TenantServer(Server):
    """A server that keeps the time at which each request of the tenant arrives."""

    arrivals: dict[str, float] = {}

    async def answer(self, request, reader, writer):
        if request.headers.get("knapweedspring-tenant-id") == TENANT["name"]:
            rid = request.headers.get("knapweedspring-request-id", "")
            self.arrivals.setdefault(rid, time.monotonic())
        return await super().answer(request, reader, writer)


def find_coordinators(nodes):
    """Return the node in each zone that grants the units, as the nodes' logs name it."""
    named = {}
    for node in nodes:
        for line in node.log_lines():
            if line.get("message_type") == "quota:coordinator":
                zone = node.settings["data_centre"]
                named.setdefault(zone, {})[node.name] = line["coordinator"]
    if len(named) != len(ZONES) or any(len(set(z.values())) != 1 for z in named.values()):
        raise CannotRun(f"the nodes name different coordinators: {named}")
    chosen = {next(iter(names.values())) for names in named.values()}
    return [node for node in nodes if node.name in chosen]


async def quota(record, folder, nodes, has_trouble):
    """QUOTA: units that a stopping coordinator granted come due beside its successor's.

    Four zones with five machines each. A tenant asks for more than its allotment. The
    node of each zone that grants its units is stopped, all four at once.
    """
    deployment = Deployment(record, folder, nodes)
    machines = [(f"side-{zone}-{number}", "catalogue", zone)
                for number in range(5) for zone in ZONES]
    await deployment.start([BROWSE], machines, TenantServer, 200, lambda *_: ORDER_S,
                           [TENANT], QUOTA_SETTINGS)
    stopped = find_coordinators(nodes)
    sent, tasks = {}, []
    began_at = time.monotonic()
    stopped_at = None
    for number in itertools.count():
        await asyncio.sleep(max(0.0, began_at + number / DEMAND_PER_S - time.monotonic()))
        now = time.monotonic()
        if now > began_at + SEND_S:
            break
        if has_trouble and stopped_at is None and now >= began_at + STOP_AFTER_S:
            stopped_at = now
            for node in stopped:
                record.add("SIGTERM", node=node.name)
                node.signal(signal.SIGTERM)
        node = nodes[number % len(nodes)]
        has_moved = stopped_at is not None and now >= stopped_at + MOVED_AFTER_S
        if has_moved and node in stopped:
            continue
        rid = f"browse-{number}"
        sent[rid] = now
        tasks.append(asyncio.ensure_future(
            ask(node.entry, "GET", f"/browse/{rid}", rid, 8.0, record,
                headers=[("Authorization", f"Bearer {KEY}")])
        ))
    await asyncio.gather(*tasks)
    await deployment.stop()
    ran = {rid for server in deployment.servers for rid in server.runs}
    spans = [(sent[rid], at) for rid, at in TenantServer.arrivals.items() if rid in ran]
    most = max(sum(begin <= sent_at and at <= begin + WINDOW_S for sent_at, at in spans)
               for begin, _ in spans)
    record.add("most in a window", n=most, allowed=QUOTA)
    return [f"QUOTA: {most} requests of the tenant were sent and arrived within "
            f"{WINDOW_S:.0f} s; {QUOTA:.1f} are allowed"] if most > QUOTA else []


async def folded(record, folder, nodes, has_trouble):
    """DENIED: a head whose end arrives with the body gets 400 because of the body.

    The client sends the empty line of the head 50 ms after the header lines, together
    with a body that holds a line end followed by a space.
    """
    deployment = await start(record, folder, nodes)
    body = b"box: 2\r\n  blend: braai\r\n  casings: 30 m\r\n"
    outcomes = []
    for number in range(40):
        rid = f"order-{number}"
        head = (f"POST /order/{rid} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Knapweedspring-Request-Id: {rid}\r\nKnapweedspring-Deadline-Ms: 5000\r\n"
                f"Content-Length: {len(body)}\r\n").encode()
        host, port = nodes[2].entry.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        record.add("client sends", id=rid)
        if has_trouble:
            writer.write(head)
            await asyncio.sleep(0.05)
            writer.write(b"\r\n" + body)
        else:
            writer.write(head + b"\r\n" + body)
        start_line, headers = await read_head(reader)
        content, _ = await read_body(reader, headers)
        writer.close()
        outcomes.append(Outcome(rid, int(start_line.split()[1]), time.monotonic()))
        record.add("client gets", id=rid, status=outcomes[-1].status, body=content)
    await deployment.stop()
    n_denied = sum(outcome.status == 400 for outcome in outcomes)
    allowed = 5 + len(outcomes) / 500
    return [f"DENIED: {n_denied} of {len(outcomes)} proper orders are answered 400; "
            f"{allowed:.2f} are allowed"] if n_denied > allowed else []


TRIALS = {
    trial.__name__: trial
    for trial in (drain, upgrade, rejections, paused, slots, expect, hide, watch, quota,
                  folded)
}

if __name__ == "__main__":
    trouble = sys.argv[2] if len(sys.argv) > 2 else "1"
    run_case(TRIALS[sys.argv[1]], FOLDER, trouble)

"""A departure reaches a node that was restarted while the store is busy."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h

FOLDER = Path(__file__).resolve().parent
#: Time for which the store answers 503, in seconds.
BUSY_S = 8.0
#: Times of the stop and of the departure, from when the store gets busy, in seconds.
STOP_AT_S, LEAVE_AT_S = 0.5, 5.0
#: Time by which one liveness report is late, in seconds.
LATE_S = 3.0
#: Time for which the server serves after its departure was acknowledged, in seconds.
SERVES_S = 10.0
ROUTES = [{"prefix": "/order/", "kind": "non_idempotent", "service": "orders"}]


class BusyStore(h.Store):
    """Store that is too busy to answer for a while."""

    is_busy = False

    async def handle(self, request):
        if self.is_busy:
            return 503, {}
        return await super().handle(request)


async def press(client, ends_at, record):
    while record.now() < ends_at:
        await client.send("POST", "/order/1", deadline_s=3.0)
        await asyncio.sleep(0.05)


async def play(record, folder, relays):
    store = BusyStore(h.free_ports_of("store", 1)[0], record)
    await store.start()
    store.write_configuration(ROUTES, ["orders", "library"])
    entry = h.Relay(record, folder, "side-1", "midrand", "library", store.address)
    others = [
        h.Relay(
            record, folder, node, "midrand", "orders", store.address, [entry.control]
        )
        for node in ("side-2", "side-3")
    ]
    relays += [entry, *others]
    servers = []
    for number, relay in enumerate(relays):
        server = h.Server(
            record, relay.service, relay.upstream_port, relay.control, f"i-{number}"
        )
        servers.append(server)
        await server.start()
        relay.start()
    for relay in relays:
        await relay.wait_ready()
    gate, leaving = relays[1], servers[1]
    beats = [asyncio.create_task(server.beat()) for server in servers]
    await asyncio.sleep(h.CONTACT_S + 2.0)
    client = h.Client(record, entry)
    load = asyncio.create_task(press(client, record.now() + 17.0, record))
    await asyncio.sleep(1.0)
    if not leaving.runs:
        raise h.CannotRun("the server got no request before it left")
    begun_at = record.now()
    in_touch_at = 0.0
    stop = None
    if h.has_trouble():
        store.is_busy = True
        record.write("store:busy")
        await asyncio.sleep(STOP_AT_S)
        gate.signal(signal.SIGTERM)

        async def restart() -> None:
            await gate.wait_ended()
            gate.start()

        stop = asyncio.create_task(restart())
    # The last report of the server is under way when it leaves. It sends no other one
    # that the restarted node could get.
    await asyncio.sleep(begun_at + LEAVE_AT_S - h.BEAT_S - record.now())
    beats[1].cancel()
    await asyncio.sleep(begun_at + LEAVE_AT_S - 0.05 - record.now())
    late = leaving.report()
    record.write("server:late-report-sent", instance=leaving.instance, seq=late["seq"])

    async def deliver_late() -> None:
        await asyncio.sleep(LATE_S)
        await leaving.send("PUT", late)

    delivery = asyncio.create_task(deliver_late())
    if stop is not None:
        await stop
    while await leaving.send("DELETE", None) != 200:
        await asyncio.sleep(0.1)
    acknowledged_at = record.write("server:leaving-acknowledged")
    if h.has_trouble():
        await asyncio.sleep(begun_at + BUSY_S - record.now())
        store.is_busy = False
        record.write("store:answers")
        in_touch_at = max(record.now(), gate.started_at) + h.CONTACT_S
    await delivery
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - record.now()))
    leaving.stop()
    record.write("server:exited", instance=leaving.instance)
    await load
    for beat in beats:
        beat.cancel()
    # The machines count again once the store and the process have been calm.
    judged_from = max(acknowledged_at + h.DRAIN_S, in_touch_at)
    record.write("judged", acknowledged_at=acknowledged_at, judged_from=judged_from)
    return [
        f"DRAIN {name} reached the server {at - acknowledged_at:.2f} s after its "
        f"departure was acknowledged; its client got {client.statuses[name]}"
        for at, name in leaving.arrived
        if at > judged_from
    ]


h.run_case(play, FOLDER)

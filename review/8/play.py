"""A late report revives a server that has left, after a planned restart of its node."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h

FOLDER = Path(__file__).resolve().parent
#: Time from the stop signal to the departure of the server, in seconds.
LEAVES_AFTER_S = 2.0
#: Time by which one liveness report is late, in seconds.
LATE_S = 2.6
#: Time for which the server serves after its departure was acknowledged, in seconds.
SERVES_S = 8.0
ROUTES = [{"prefix": "/order/", "kind": "non_idempotent", "service": "orders"}]


async def press(client, ends_at, record):
    while record.now() < ends_at:
        await client.send("POST", "/order/1", deadline_s=3.0)
        await asyncio.sleep(0.05)


async def play(record, folder, relays):
    store = h.Store(h.free_ports_of("store", 1)[0], record)
    await store.start()
    store.write_configuration(ROUTES, ["orders", "library"])
    gate = h.Relay(record, folder, "side-1", "midrand", "orders", store.address)
    second = h.Relay(record, folder, "side-2", "midrand", "orders", store.address)
    entry = h.Relay(record, folder, "side-3", "midrand", "library", store.address)
    relays += [gate, second, entry]
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
    leaving = servers[0]
    beats = [asyncio.create_task(server.beat()) for server in servers]
    await asyncio.sleep(h.CONTACT_S + 2.0)
    client = h.Client(record, entry)
    load = asyncio.create_task(press(client, record.now() + 12.0, record))
    await asyncio.sleep(1.0)
    if not leaving.runs:
        raise h.CannotRun("the server got no request before it left")
    if h.has_trouble():
        gate.signal(signal.SIGTERM)
    await asyncio.sleep(LEAVES_AFTER_S)

    # The last report of the server is under way when it leaves.
    beats[0].cancel()
    late = leaving.report()
    record.write("server:late-report-sent", instance=leaving.instance, seq=late["seq"])

    async def deliver_late() -> None:
        await asyncio.sleep(LATE_S)
        await leaving.send("PUT", late)

    delivery = asyncio.create_task(deliver_late())
    if await leaving.send("DELETE", None) != 200:
        raise h.CannotRun("the departure was not acknowledged")
    acknowledged_at = record.write("server:leaving-acknowledged")
    in_touch_at = 0.0
    if h.has_trouble():
        await gate.wait_ended()
        gate.start()
        in_touch_at = gate.started_at + h.CONTACT_S
        await gate.wait_ready()
    await delivery
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - record.now()))
    leaving.stop()
    record.write("server:exited", instance=leaving.instance)
    await load
    for beat in beats:
        beat.cancel()
    # The machine of the server counts again once it has been up for the contact time.
    judged_from = max(acknowledged_at + h.DRAIN_S, in_touch_at)
    record.write("judged", acknowledged_at=acknowledged_at, judged_from=judged_from)
    late_arrivals = [(at, name) for at, name in leaving.arrived if at > judged_from]
    return [
        f"DRAIN {name} reached the server {at - acknowledged_at:.2f} s after its "
        f"departure was acknowledged; its client got {client.statuses[name]}"
        for at, name in late_arrivals
    ]


h.run_case(play, FOLDER)

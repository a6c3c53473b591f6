"""Requests wait at a gate while its server is replaced by one of another service."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h

FOLDER = Path(__file__).resolve().parent
#: Slots of the server that is replaced, and requests that are sent to it at once.
N_SLOTS, N_REQUESTS = 4, 16
#: Time for which its requests run, in seconds.
WORK_S = 0.8
#: Time after the end of a server from which its address may be used again (the bound
#: ``reuse_after_s``), in seconds.
REUSE_AFTER_S = 2.0
ROUTES = [
    {"prefix": "/browse/", "kind": "idempotent", "service": "catalogue"},
    {"prefix": "/order/", "kind": "non_idempotent", "service": "catalogue"},
    {"prefix": "/recipe/", "kind": "idempotent", "service": "recipes"},
]


async def play(record, folder, relays):
    store = h.Store(h.free_ports_of("store", 1)[0], record)
    await store.start()
    store.write_configuration(ROUTES, ["catalogue", "recipes", "library"])
    gate = h.Relay(record, folder, "side-1", "midrand", "catalogue", store.address)
    entry = h.Relay(record, folder, "side-2", "midrand", "library", store.address)
    relays += [gate, entry]
    first = h.Server(
        record, "catalogue", gate.upstream_port, gate.control, "i-first", N_SLOTS
    )
    other = h.Server(record, "library", entry.upstream_port, entry.control, "i-other")
    for relay, server in ((gate, first), (entry, other)):
        await server.start()
        relay.start()
    for relay in relays:
        await relay.wait_ready()
    beats = [asyncio.create_task(server.beat()) for server in (first, other)]
    await asyncio.sleep(h.CONTACT_S + 1.0)
    client = h.Client(record, entry)
    if await client.send("GET", "/browse/warm") != 200:
        raise h.CannotRun("the first request was not served")
    first.work_s = WORK_S
    paths = [("GET", "/browse/1"), ("POST", "/order/1")]
    sends = [
        asyncio.create_task(client.send(*paths[n % 2], deadline_s=4.0))
        for n in range(N_REQUESTS)
    ]
    await asyncio.sleep(0.3)
    second = None
    if h.has_trouble():
        # The first server loses power: its connections stay without any answer.
        beats[0].cancel()
        first.is_silent = True
        first.stop_listening()
        record.write("server:lost", instance=first.instance)
        await asyncio.sleep(REUSE_AFTER_S + 0.1)
        second = h.Server(
            record, "recipes", gate.upstream_port, gate.control, "i-second"
        )
        await second.start()
        gate.service = "recipes"
        gate.write_settings()
        record.write("server:reused", instance=second.instance, service="recipes")
        beats.append(asyncio.create_task(second.beat()))
    await asyncio.gather(*sends)
    await asyncio.sleep(1.0)
    for beat in beats:
        beat.cancel()
    wrong = [run for run in second.runs if run[1][:8] != "/recipe/"] if second else []
    return [
        f"ROUTE {path} ({name}) ran at a server of the service recipes; "
        f"its client got {client.statuses[name]}"
        for name, path in wrong
    ]


h.run_case(play, FOLDER)

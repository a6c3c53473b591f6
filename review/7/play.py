"""The store leaves the machines that watch it without answers for some seconds."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness_2 as h

FOLDER = Path(__file__).resolve().parent
ZONES = ("midrand", "centurion")
N_PER_ZONE = 3
#: Time for which the store is silent towards some machines, in seconds, and the
#: largest share of the machines.
SILENT_S, MAX_SHARE = 5.0, 0.35
#: Time until the operator writes a configuration, in seconds.
CHANGE_AFTER_S = 2.0
#: Time for which requests are sent after the store answers again, in seconds.
WATCHED_S = 14.0
SERVICES = ["recipes", "catalogue"]


def routes(service):
    return [{"prefix": "/card/", "kind": "idempotent", "service": service}]


async def press(client, ends_at, record):
    while record.now() < ends_at:
        await client.send("GET", "/card/1", deadline_s=3.0)
        await asyncio.sleep(0.15)


async def play(record, folder, relays):
    store = h.Store(h.free_ports_of("store", 1)[0], record)
    store.write_configuration(routes("recipes"), SERVICES)
    doors, servers, beats = [], [], []
    for number in range(N_PER_ZONE * len(ZONES)):
        node, zone = f"side-{number}", ZONES[number % len(ZONES)]
        door = h.StoreDoor(store, record, node)
        await door.start()
        doors.append(door)
        service = SERVICES[number // len(ZONES) % 2]
        relay = h.Relay(record, folder, node, zone, service, door.address)
        relays.append(relay)
        server = h.Server(
            record, service, relay.upstream_port, relay.control, f"i-{number}"
        )
        servers.append(server)
        await server.start()
        relay.start()
    for relay in relays:
        await relay.wait_ready()
    for server in servers:
        beats.append(asyncio.create_task(server.beat()))
    await asyncio.sleep(h.CONTACT_S + 4.0)
    clients = [h.Client(record, relay) for relay in relays]
    # Another change, which all machines follow.
    store.write_configuration(routes("recipes"), SERVICES)
    await asyncio.sleep(3.0)
    watchers = [door for door in doors if door.n_watches]
    record.write("store:watchers", machines=",".join(d.machine for d in watchers))
    if not 0 < len(watchers) <= MAX_SHARE * len(doors):
        raise h.CannotRun(f"{len(watchers)} of {len(doors)} machines watch the store")
    if h.has_trouble():
        for door in watchers:
            door.is_silent = True
        record.write("store:silent-begins")
    begun_at = record.now()
    await asyncio.sleep(CHANGE_AFTER_S)
    acknowledged_at = store.write_configuration(routes("catalogue"), SERVICES)
    await asyncio.sleep(begun_at + SILENT_S - record.now())
    for door in watchers:
        door.is_silent = False
    ended_at = record.write("store:silent-ends")
    # The bound is stretched as far as the rules allow, and the machines are in touch.
    judged_from = max(
        acknowledged_at + h.CONFIG_S + h.STRETCH_MAX_S, ended_at + h.CONTACT_S
    )
    record.write("judged", judged_from=judged_from)
    await asyncio.gather(
        *(press(client, ended_at + WATCHED_S, record) for client in clients)
    )
    for beat in beats:
        beat.cancel()
    sent_at = {name: at for client in clients for name, at in client.sent_at.items()}
    stale = [
        (sent_at[name], name, server.instance)
        for server in servers
        if server.service == "recipes"
        for name, _ in server.runs
        if sent_at[name] > judged_from
    ]
    return [
        f"CONFIG {name}, sent {at - acknowledged_at:.2f} s after the configuration was "
        f"acknowledged, was run by the old service at {instance}"
        for at, name, instance in sorted(stale)
    ]


h.run_case(play, FOLDER)

"""Requests that wait for a slot are cut without an answer at the end of a stop."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import GRACE_S, Deployment, Server, ask, route, run_case  # noqa: E402

#: Sheet of the grown Pen Cleaning mesh: work, deadline and kind of ``pen-status``.
WORK_S = 1.1
DEADLINE_S = 12.0
SLOTS = 4
N_REQUESTS = 50
#: Time between the last request and the stop, in seconds.
STOP_DELAY_S = 0.5


async def main(record, folder, nodes, has_trouble):
    deployment = Deployment(record, folder, nodes)
    rules = [
        route("pen-status", "/pens/", "idempotent", "pens", DEADLINE_S, 2, 2, 3.0),
        route("pen-repair", "/repair/", "non_idempotent", "pens", DEADLINE_S, 2, 2, 3.0),
    ]
    machines = [("side-1", "pens", "midrand"), ("side-2", "pens", "midrand"),
                ("side-3", "rota", "midrand"), ("side-4", "rota", "midrand")]
    await deployment.start(rules, machines, Server, SLOTS, lambda rid, target: WORK_S)
    servers = deployment.servers

    stopped = nodes[2]
    tasks = []
    for number in range(N_REQUESTS):
        method, path = ("GET", "/pens/") if number % 2 else ("POST", "/repair/")
        rid = f"r-{number}"
        tasks.append(asyncio.ensure_future(
            ask(stopped.entry, method, path + rid, rid, DEADLINE_S, record)
        ))
        await asyncio.sleep(0.01)
    await asyncio.sleep(STOP_DELAY_S)
    stopped_at = time.monotonic()
    if has_trouble:
        record.add("SIGTERM", node=stopped.name)
        stopped.signal(signal.SIGTERM)
    outcomes = await asyncio.gather(*tasks)
    if has_trouble:
        await asyncio.sleep(max(0.0, stopped_at + GRACE_S - time.monotonic()))
        record.add("after grace_s", node=stopped.name, has_ended=stopped.has_ended)

    runs = {rid for server in servers for rid in server.runs}
    broken = []
    for outcome in outcomes:
        record.add("request", id=outcome.rid, status=outcome.status,
                   ran=outcome.rid in runs)
        # A request at which a server is at work in the last sixth of the grace period
        # may be cut. One that no server ever got has no such excuse.
        if outcome.status == 0 and outcome.rid not in runs:
            after_s = outcome.at - stopped_at
            broken.append(f"LOST: {outcome.rid} was read, never sent to a server, and its "
                          f"connection ended without an answer {after_s:.2f} s after the "
                          "SIGTERM")
    await deployment.stop()
    return broken


if __name__ == "__main__":
    run_case(main, FOLDER, sys.argv[1])

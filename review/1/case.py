"""A late second copy of a rejection is taken for the answer to the next send."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import Deployment, Server, ask, route, run_case  # noqa: E402

ZONES = ("midrand", "centurion")
#: Doses of the site file: ``srv_grey`` with ``shed all`` and ``garble`` with ``extra late``.
REJECTED_SHARE = 0.55
COPIED_SHARE = 0.03
TROUBLE_S = 5.0
#: Time after a rejection at which its second copy is sent, in seconds.
COPY_DELAY_S = 0.03
#: Times for which an order and a stock check run, in seconds.
ORDER_S = 0.12
CHECK_S = 0.005
#: Stock checks between two orders.
N_CHECKS = 12


class FaultyServer(Server):
    """A server that rejects a share of the orders and copies a share of its answers."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_faulty = self.copies = False
        self.n_orders = self.n_copies = 0
        self._rejected = set()
        self.n_answers_before = 0

    @property
    def n_rejected(self):
        return len(self._rejected)

    def begin_trouble(self):
        self.is_faulty, self.n_answers_before = True, self.n_answers

    def rejects(self, rid):
        if not self.is_faulty or not rid.startswith("order-"):
            return False
        self.n_orders += 1
        # Only first sends, and no more of them than the dose allows.
        if rid in self._rejected or self.n_rejected + 1 > REJECTED_SHARE * self.n_orders:
            return False
        self._rejected.add(rid)
        return True

    def send_rejection(self, writer, rid):
        super().send_rejection(writer, rid)
        n_answers = self.n_answers - self.n_answers_before
        if self.copies and self.n_copies + 1 <= COPIED_SHARE * n_answers:
            self.n_copies += 1
            asyncio.get_running_loop().call_later(
                COPY_DELAY_S, self._send_copy, writer, rid
            )

    def _send_copy(self, writer, rid):
        if not writer.transport.is_closing():
            self._record.add("server sends a second copy", server=self.instance, id=rid)
            super().send_rejection(writer, rid)


async def main(record, folder, nodes, has_trouble):
    deployment = Deployment(record, folder, nodes)
    rules = [
        route("spice-order", "/order/", "non_idempotent", "orders", 5.0, 2),
        route("stock-check", "/check/", "idempotent", "orders", 2.5, 2, priority=2),
    ]
    machines = [(f"{service}-{zone}", service, zone)
                for zone in ZONES for service in ("orders", "recipes")]
    await deployment.start(
        rules, machines, FaultyServer, 20,
        lambda rid, target: ORDER_S if "order" in target else CHECK_S,
    )
    servers = deployment.servers

    # The clients are beside the recipe server of the first zone.
    faulty, entry = servers[0], nodes[1].entry
    orders = servers[::2]
    if has_trouble:
        for server in orders:
            server.begin_trouble()
        faulty.copies = True
    outcomes, ends_at = [], time.monotonic() + TROUBLE_S
    while time.monotonic() < ends_at:
        for number in range(N_CHECKS):
            rid = f"check-{len(outcomes)}-{number}"
            await ask(entry, "GET", f"/check/{rid}", rid, 2.5, record)
        rid = f"order-{len(outcomes)}"
        outcomes.append(
            await ask(entry, "POST", f"/order/{rid}", rid, 5.0, record, b"two boxes")
        )
    for server in orders:
        server.is_faulty = server.copies = False
    await asyncio.sleep(0.5)

    broken = []
    for outcome in outcomes:
        runs = sum(server.runs.count(outcome.rid) for server in servers)
        record.add("order", id=outcome.rid, status=outcome.status, runs=runs)
        if runs > 1:
            broken.append(f"TWICE: {outcome.rid} ran {runs} times")
        if runs and outcome.status in (408, 421, 429, 503):
            broken.append(f"REFUSED: {outcome.rid} was answered {outcome.status} and ran")
    for server in orders:
        record.add("doses", server=server.instance, orders=server.n_orders,
                   rejected=server.n_rejected,
                   answers=server.n_answers - server.n_answers_before,
                   copies=server.n_copies)
    await deployment.stop()
    return broken


if __name__ == "__main__":
    run_case(main, FOLDER, sys.argv[1])

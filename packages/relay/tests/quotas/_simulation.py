"""Nodes that share quotas, on a virtual clock, with messages that the test delays.

The coordinators, shares and leases are those of the product; only connections, time and
the questions of requests are simulated. Bytes sent into a cut arrive when it heals,
unless a connection was aborted meanwhile.
"""

import heapq
import itertools
import random

from knapweedspring_relay import GateEntry, Quota, UpstreamState
from knapweedspring_relay._hop_frames import (
    QuotaLeaseAckFrame,
    QuotaLeaseFrame,
    QuotaLoanFrame,
    QuotaLoanRequestFrame,
    QuotaRequestFrame,
)
from knapweedspring_relay._knowledge import SourceSelector
from knapweedspring_relay._quota_rules import QuotaRules
from knapweedspring_relay._quotas import QuotaCoordinator
from knapweedspring_relay._quotas._borrowing import Borrowing
from knapweedspring_relay._quotas._coordinator_link import CoordinatorLink
from knapweedspring_relay._quotas._lending import Lending
from knapweedspring_relay._quotas._own_shares import OwnShares

WORKSPACE = "w"
CHECK_PERIOD_S = 0.1
MAX_DELAY_S = 0.3


class _Silent:
    def write_state(self, event, coordinator, reason=""):
        pass


class _Link(CoordinatorLink):
    """A link whose frames travel through the simulation."""

    def __init__(self, simulation, owner, node, address, lender, on_grant, on_end):
        # Without the base class's constructor, which opens a socket.
        self._node, self._address, self._lender = node, address, lender
        self._on_grant, self._on_end = on_grant, on_end
        self._simulation, self._owner = simulation, owner
        self._server = simulation.nodes.get(node)
        self._is_open = self._awaits_ack = self._has_worked = False
        self._has_ended = False
        self._heard_at = simulation.now
        simulation.deliver(owner, self._server, self._connected)

    def _connected(self):
        if not self._has_ended:
            self._is_open = True
            self._heard_at = self._simulation.now

    def send(self, frame):
        if not self._has_ended:
            server = self._server
            action = lambda: server.receive(self, frame)  # noqa: E731
            self._simulation.deliver(self._owner, server, action, self)

    def reply(self, frame):
        def arrive():
            if not self._has_ended:
                self._heard_at = self._simulation.now
                self.handle_frame(frame)

        self._simulation.deliver(self._server, self._owner, arrive, self)

    def close(self):
        self._has_ended = True

    def close_when_sent(self):
        self._has_ended = True

    def end_by_reset(self):
        if not self._has_ended:
            self._has_ended = True
            self.handle_end("reset")


class _LoanLink(_Link):
    """A link to the coordinator of another data centre."""

    def __init__(self, simulation, owner, node, address, on_loans, on_end):
        super().__init__(simulation, owner, node, address, None, None, on_end)
        self._on_loans = on_loans

    def handle_frame(self, frame):
        if isinstance(frame, QuotaLoanFrame):
            self._on_loans(self, frame.loans)

    def handle_end(self, reason):
        self._on_end(self)


class Node:
    """One node; a restart replaces everything that it remembers."""

    def __init__(self, simulation, name, data_centre):
        self._simulation = simulation
        self.name, self.data_centre = name, data_centre
        self.paused_until = self.down_until = 0.0
        self.n_known = None
        self.start()

    def start(self):
        simulation = self._simulation
        shared = (
            lambda: simulation.rules,
            lambda _: simulation.quota,
            lambda: self.n_known or simulation.n_local(self.data_centre),
        )
        self.coordinator = QuotaCoordinator(*shared)
        self.own_shares = OwnShares(*shared, simulation.now)
        self.selector = SourceSelector(self.name, self.data_centre, b"quotas")
        self.selector.set_entries(simulation.entries())
        self.links = []
        self.lending = Lending(
            self.name,
            self.selector,
            self.coordinator,
            self.own_shares,
            _Silent(),
            clock=lambda: simulation.now,
            open_link=self._open_link,
        )
        self.borrowing = Borrowing(
            self.data_centre,
            self.coordinator,
            lambda name: SourceSelector(self.name, name, b"quotas"),
            clock=lambda: simulation.now,
            open_link=self._open_loan_link,
        )
        self.borrowing.update_entries(simulation.entries())

    def _open_link(self, *arguments):
        link = _Link(self._simulation, self, *arguments)
        self.links.append(link)
        return link

    def _open_loan_link(self, *arguments):
        link = _LoanLink(self._simulation, self, *arguments)
        self.links.append(link)
        return link

    def check(self):
        self.lending.check()
        if self._simulation.lends_between_data_centres:
            self.borrowing.check(self.lending.is_lent_here)

    def acts(self, now):
        return now >= self.paused_until and now >= self.down_until

    def receive(self, link, frame):
        now = self._simulation.now
        if isinstance(frame, QuotaRequestFrame):
            grant = self.coordinator.grant(WORKSPACE, 1, frame.max_delay_s, now)
            link.reply(("grant", frame.question, grant))
        elif isinstance(frame, QuotaLoanRequestFrame):
            loans = self.coordinator.lend(link, frame.wanted, now)
            link.reply(QuotaLoanFrame(loans))
        elif isinstance(frame, QuotaLeaseFrame) and frame.is_release:
            self.coordinator.end_lease(link, now)
        elif isinstance(frame, QuotaLeaseFrame):
            self.coordinator.renew_lease(link, now, frame.idle_s)
            link.reply(QuotaLeaseAckFrame())

    def request(self):
        """Let one request start now, later, or not at all."""
        simulation, now = self._simulation, self._simulation.now
        if not self.acts(now):
            return
        link = self.lending.link
        if self.lending.is_lent_here:
            grant = self.coordinator.grant(WORKSPACE, 1, MAX_DELAY_S, now)
            self._start(grant)
        elif link is not None:
            link.handle_frame = lambda frame: self._handle(link, frame)
            link.send(QuotaRequestFrame(0, WORKSPACE, 1, MAX_DELAY_S))
        elif not self.lending.is_lending and self.own_shares.try_take(WORKSPACE, now):
            simulation.record_start(now)

    def _handle(self, link, frame):
        if isinstance(frame, tuple):
            self._start(frame[2])
        else:
            _Link.handle_frame(link, frame)

    def _start(self, grant):
        if grant is not None and grant.delays_s:
            self._simulation.record_start(self._simulation.now + grant.delays_s[0])


class Simulation:
    """A deployment with one limited workspace."""

    def __init__(self, n_nodes, n_data_centres, quota, seed, slack=20.0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.lends_between_data_centres = True
        self.quota = quota
        self.rules = QuotaRules(5.0, 0.1, slack, n_data_centres)
        self.starts = []
        self.cut = set()
        self.cut_data_centres = set()
        self._events, self._order = [], itertools.count()
        self._held = []
        self.nodes = {}
        names = [(f"n{i}", f"dc{i % n_data_centres}") for i in range(n_nodes)]
        self._entries = tuple(
            GateEntry(name, name, name, dc, "s", name, 1, 1, UpstreamState.READY)
            for name, dc in names
        )
        for name, data_centre in names:
            self.nodes[name] = Node(self, name, data_centre)
            self._schedule_check(self.nodes[name], self.rng.uniform(0, CHECK_PERIOD_S))

    def entries(self):
        return self._entries

    def n_local(self, data_centre):
        return sum(e.data_centre == data_centre for e in self._entries)

    def at(self, time, action):
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def connected(self, one, other):
        if one.name in self.cut or other.name in self.cut:
            return False
        same = one.data_centre == other.data_centre
        return same or not {one.data_centre, other.data_centre} & self.cut_data_centres

    def deliver(self, sender, receiver, action, link=None):
        """Run an action at the receiver after a delay; hold it while it cannot act."""

        def arrive():
            is_dead = link is not None and (link._has_ended and not link._is_open)
            if is_dead or receiver.down_until > self.now:
                return
            if not self.connected(sender, receiver) or not receiver.acts(self.now):
                self._held.append((sender, receiver, arrive))
            else:
                action()

        self.at(self.now + self.rng.choice((0.0003, 0.002, 0.03)), arrive)

    def release_held(self):
        held, self._held = self._held, []
        for _, _, arrive in held:
            self.at(self.now, arrive)

    def cut_nodes(self, names, length_s):
        self.cut |= set(names)

        def heal():
            self.cut -= set(names)
            self.release_held()

        self.at(self.now + length_s, heal)

    def cut_data_centre(self, data_centre, length_s):
        self.cut_data_centres.add(data_centre)

        def heal():
            self.cut_data_centres.discard(data_centre)
            self.release_held()

        self.at(self.now + length_s, heal)

    def pause(self, node, length_s):
        node.paused_until = self.now + length_s
        self.at(node.paused_until, self.release_held)

    def restart(self, node, down_s):
        """Kill a node; its connections are reset and its memory is lost."""
        node.down_until = self.now + down_s
        for other in self.nodes.values():
            for link in other.links:
                if link._server is node:
                    self.at(self.now + 0.001, link.end_by_reset)
        for link in node.links:
            link._has_ended = True
            server = link._server
            if server is not None:
                server.coordinator.end_lease(link, self.now)
                server.coordinator.end_lending(link)
        node.start()

    def add_caller(self, node, rate_per_s, begins_at, ends_at):
        def request():
            node.request()
            if self.now < ends_at:
                self.at(self.now + self.rng.expovariate(rate_per_s), request)

        self.at(begins_at, request)

    def record_start(self, time):
        self.starts.append(time)

    def n_started(self, begin, end):
        return sum(begin <= start < end for start in self.starts)

    def largest_window(self):
        starts = sorted(self.starts)
        window_s = self.rules.window_s
        largest = first = 0
        for last, start in enumerate(starts):
            while start - starts[first] >= window_s:
                first += 1
            largest = max(largest, last - first + 1)
        return largest

    @property
    def allowed(self):
        total = self.quota.per_s * self.rules.window_s + self.quota.burst
        return total * (1 + self.rules.excess) + self.rules.slack

    def _schedule_check(self, node, delay_s):
        def check():
            if node.acts(self.now):
                node.check()
            self._schedule_check(node, CHECK_PERIOD_S)

        self.at(self.now + delay_s, check)


def make_quota(per_s):
    return Quota(per_s, per_s)

"""Failure detection: direct probes, indirect probes, suspicion, death.

A failed direct probe alone raises no suspicion; helpers, in other data
centres too, must fail as well. A suspected node is told so and refutes.
"""

import threading
import time
from dataclasses import dataclass

from result import Err, Ok

from knapweedspring_core import Counters, EventLog, Member, MemberState
from knapweedspring_node._membership._links import Exchange, LinkPool, Outcome
from knapweedspring_node._membership._local import LocalState
from knapweedspring_node._membership._messages import (
    Gossip,
    Kind,
    ProbeReport,
    ProbeRequest,
    pack,
    unpack,
)
from knapweedspring_node._membership._settings import MembershipSettings
from knapweedspring_node._membership._spreader import Spreader
from knapweedspring_node._membership._sync import Reconciler
from knapweedspring_node._membership._topology import Topology

__all__ = ["FailureDetector"]

#: Seconds between two looks at the suspected members.
SWEEP_PERIOD_S = 0.5
#: A gap between two looks from which on this node was itself paused.
PAUSE_MIN_S = 2.0
#: Seconds of silence of another data centre within which its members are left
#: to their own data centre's judgement.
DATA_CENTRE_GRACE_S = 30.0
#: An indirect probe's timeout, in timeouts of a direct one.
INDIRECT_TIMEOUT_FACTOR = 3.0


class _IndirectProbe:
    """Collects the reports of the helpers about one target."""

    def __init__(self, detector: "FailureDetector", target: Member, n: int) -> None:
        self._detector = detector
        self._target = target
        self._lock = threading.Lock()
        self._n_missing = n
        self._reached = False

    def on_report(self, outcome: Outcome) -> None:
        """Take one helper's report, or its failure to report."""
        reached = isinstance(outcome, Ok) and _reports_success(outcome.ok_value.payload)
        with self._lock:
            self._n_missing -= 1
            first = reached and not self._reached
            self._reached = self._reached or reached
            failed = self._n_missing == 0 and not self._reached
        if first:
            self._detector.on_reached(self._target, "indirect")
        elif failed:
            self._detector.on_unreached(self._target)


def _reports_success(payload: bytes) -> bool:
    report = unpack(payload, ProbeReport)
    return isinstance(report, Ok) and report.ok_value.reached


@dataclass(frozen=True, slots=True)
class Parts:
    """What the failure detector works with."""

    #: Members and declarations.
    local: LocalState
    #: Chooses peers.
    topology: Topology
    #: Carries messages.
    links: LinkPool
    #: Composes and takes in gossip.
    spreader: Spreader
    #: Compares digests that replies carry.
    reconciler: Reconciler
    #: Counts probes.
    counters: Counters
    #: Records unreachable data centres.
    events: EventLog


class FailureDetector:
    """Probes the neighbours in turn and judges those that do not reply."""

    def __init__(self, parts: Parts, settings: MembershipSettings) -> None:
        self._parts = parts
        self._settings = settings
        self._round: list[Member] = []
        self._swept_s = time.monotonic()
        self._healthy_since_s = time.monotonic()
        self._heard_s: dict[str, float] = {}
        self._silent: set[str] = set()

    def probe_next(self) -> None:
        """Probe the next neighbour; called every probe period."""
        if not self._round:
            neighbours = self._parts.topology.neighbours()
            self._round = self._parts.topology.shuffled(neighbours)
        if self._round:
            self._probe(self._round.pop())

    def sweep(self) -> None:
        """Hold those dead whose time to refute is over."""
        now_s = time.monotonic()
        if now_s - self._swept_s > PAUSE_MIN_S:
            # This node was paused, so that others' silence means nothing yet.
            self._healthy_since_s = now_s
            self._parts.counters.add("membership_own_pauses")
        self._swept_s = now_s
        if now_s - self._healthy_since_s < self._settings.suspicion_s:
            return
        local = self._parts.local
        age_s = self._settings.suspicion_s
        for member in local.table.older_than(MemberState.SUSPECT, age_s):
            local.mark(member, MemberState.DEAD)

    def heard(self, data_centre: str) -> None:
        """Note that a member of a data centre was heard."""
        self._heard_s[data_centre] = time.monotonic()
        if data_centre in self._silent:
            self._silent.discard(data_centre)
            self._parts.events.record("data-centre:reachable", data_centre=data_centre)

    def on_reached(self, member: Member, way: str) -> None:
        """Take note of a probe that was answered."""
        self._parts.counters.add("membership_probes_answered", way)
        self.heard(member.data_centre)

    def on_unreached(self, member: Member) -> None:
        """Suspect a member that neither this node nor its helpers reached."""
        if time.monotonic() - self._swept_s > PAUSE_MIN_S:
            return
        held = self._parts.local.table.find(member.node_id)
        if held is None or held.state is not MemberState.ALIVE or held != member:
            return
        if self._is_left_to_its_data_centre(held):
            return
        if self._parts.local.mark(held, MemberState.SUSPECT):
            self._parts.counters.add("membership_suspicions")

    def _probe(self, member: Member) -> None:
        self._parts.counters.add("membership_probes")
        # A suspected member learns of the suspicion from the probe itself.
        news = () if member.state is MemberState.ALIVE else (member,)
        payload = self._parts.spreader.compose(member.node_id, news)

        def on_done(outcome: Outcome) -> None:
            if self._is_answer_of(member, outcome):
                self.on_reached(member, "direct")
            else:
                self._probe_indirectly(member)

        exchange = Exchange(Kind.PING, payload, self._settings.probe_timeout_s, on_done)
        self._parts.links.submit(member.control_address, exchange)

    def _is_answer_of(self, member: Member, outcome: Outcome) -> bool:
        if isinstance(outcome, Err):
            return False
        gossip = unpack(outcome.ok_value.payload, Gossip)
        if isinstance(gossip, Err):
            return False
        self._parts.spreader.take_in(gossip.ok_value)
        self._parts.reconciler.compare(gossip.ok_value, member.control_address)
        # Another node may have taken the address over.
        return gossip.ok_value.sender == member.node_id

    def _probe_indirectly(self, member: Member) -> None:
        helpers = self._parts.topology.helpers(member)
        if not helpers:
            self.on_unreached(member)
            return
        probe = _IndirectProbe(self, member, len(helpers))
        request = ProbeRequest(member.node_id, member.control_address)
        timeout_s = self._settings.probe_timeout_s * INDIRECT_TIMEOUT_FACTOR
        exchange = Exchange(Kind.PROBE, pack(request), timeout_s, probe.on_report)
        for helper in helpers:
            self._parts.links.submit(helper.control_address, exchange)

    def _is_left_to_its_data_centre(self, member: Member) -> bool:
        data_centre = member.data_centre
        if data_centre == self._parts.local.own.data_centre:
            return False
        if self._parts.topology.n_live(data_centre) < 2:
            return False
        heard_s = self._heard_s.setdefault(data_centre, time.monotonic())
        if data_centre not in self._silent:
            self._silent.add(data_centre)
            self._parts.events.record(
                "data-centre:unreachable", data_centre=data_centre
            )
        return time.monotonic() - heard_s < DATA_CENTRE_GRACE_S

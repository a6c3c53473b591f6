"""Failure detection by direct probes, indirect probes and suspicion timeouts.

A failed direct probe alone raises no suspicion: indirect probes through other nodes
must fail as well. A member of another data centre is probed indirectly from several
data centres. The probe of a suspect carries the suspicion, so that the suspect can
refute it.
"""

import threading
import time
from dataclasses import dataclass

from result import Err, Ok

from knapweedspring_core import Counters, EventLog, Member, MemberState
from knapweedspring_node._membership._anti_entropy import Reconciler
from knapweedspring_node._membership._dissemination import Disseminator
from knapweedspring_node._membership._links import Exchange, ExchangeResult, LinkPool
from knapweedspring_node._membership._local_state import LocalState
from knapweedspring_node._membership._messages import (
    Gossip,
    Kind,
    ProbeReport,
    ProbeRequest,
    pack,
    unpack,
)
from knapweedspring_node._membership._settings import MembershipSettings
from knapweedspring_node._membership._topology import Topology

__all__ = ["FailureDetector"]

#: Seconds between two checks for expired suspicions.
SUSPICION_CHECK_PERIOD_S = 0.5
#: When more seconds than this pass between two checks for expired suspicions, this
#: process counts as paused, and no suspicion expires for a whole timeout.
OWN_PAUSE_MIN_S = 2.0
#: For this many seconds after the last message from another data centre, this node
#: does not suspect the members there, whose failures their own peers detect. A sole
#: live member of a data centre has no such peers and is suspected without this delay.
DATA_CENTRE_GRACE_S = 30.0
#: Timeout of an indirect probe, as a multiple of the timeout of a direct probe.
INDIRECT_TIMEOUT_FACTOR = 3.0


class _IndirectProbe:
    """Collects the reports of the indirect probes of one target."""

    def __init__(
        self, detector: "FailureDetector", target: Member, n_probes: int
    ) -> None:
        self._detector = detector
        self._target = target
        self._lock = threading.Lock()
        self._n_pending = n_probes
        self._reached = False

    def on_report(self, result: ExchangeResult) -> None:
        """Record one prober's report; a missing report counts as a failed probe."""
        reached = isinstance(result, Ok) and _reports_success(result.ok_value.payload)
        with self._lock:
            self._n_pending -= 1
            is_first_success = reached and not self._reached
            self._reached = self._reached or reached
            all_failed = self._n_pending == 0 and not self._reached
        if is_first_success:
            self._detector.on_probe_answered(self._target, "indirect")
        elif all_failed:
            self._detector.on_probe_failed(self._target)


def _reports_success(payload: bytes) -> bool:
    report = unpack(payload, ProbeReport)
    return isinstance(report, Ok) and report.ok_value.reached


@dataclass(frozen=True, slots=True)
class DetectorParts:
    """Components that the failure detector uses."""

    #: Member table and declarations.
    local: LocalState
    #: Chooses the members to probe and the indirect probers.
    topology: Topology
    #: Sends the probes.
    links: LinkPool
    #: Composes the probes and applies the gossip of replies.
    disseminator: Disseminator
    #: Compares the digests that replies carry.
    reconciler: Reconciler
    #: Counts probes, suspicions and pauses of this process.
    counters: Counters
    #: Records when a data centre becomes unreachable or reachable.
    events: EventLog


class FailureDetector:
    """Probes the neighbours in turn and suspects those that no probe reaches.

    :param parts: components that the detector uses.
    :param settings: probe and suspicion timeouts.
    """

    def __init__(self, parts: DetectorParts, settings: MembershipSettings) -> None:
        self._parts = parts
        self._settings = settings
        self._probe_queue: list[Member] = []
        self._suspicions_checked_at = time.monotonic()
        self._resumed_at = time.monotonic()
        self._last_message_at: dict[str, float] = {}
        self._unreachable_data_centres: set[str] = set()

    def probe_next(self) -> None:
        """Probe the next neighbour of the round; called every probe period.

        Each round probes all neighbours once, in random order.
        """
        if not self._probe_queue:
            neighbours = self._parts.topology.neighbours()
            self._probe_queue = self._parts.topology.shuffled(neighbours)
        if self._probe_queue:
            self._probe(self._probe_queue.pop())

    def expire_suspicions(self) -> None:
        """Mark as dead each suspect that did not refute the suspicion in time.

        Called every :data:`SUSPICION_CHECK_PERIOD_S` seconds.
        """
        now_s = time.monotonic()
        if now_s - self._suspicions_checked_at > OWN_PAUSE_MIN_S:
            # This process was paused, so missing refutations prove nothing yet.
            self._resumed_at = now_s
            self._parts.counters.add("membership_own_pauses")
        self._suspicions_checked_at = now_s
        if now_s - self._resumed_at < self._settings.suspicion_s:
            return
        local = self._parts.local
        age_s = self._settings.suspicion_s
        for member in local.table.in_state_longer_than(MemberState.SUSPECT, age_s):
            local.mark_state(member, MemberState.DEAD)

    def record_message_from(self, data_centre: str) -> None:
        """Record that a message from a member of a data centre arrived."""
        self._last_message_at[data_centre] = time.monotonic()
        if data_centre in self._unreachable_data_centres:
            self._unreachable_data_centres.discard(data_centre)
            self._parts.events.record("data-centre:reachable", data_centre=data_centre)

    def on_probe_answered(self, member: Member, probe_type: str) -> None:
        """Record that a probe reached a member.

        :param member: the probed member.
        :param probe_type: ``direct`` or ``indirect``, as a metric label.
        """
        self._parts.counters.add("membership_probes_answered", probe_type)
        self.record_message_from(member.data_centre)

    def on_probe_failed(self, member: Member) -> None:
        """Mark as suspect a member that neither direct nor indirect probes reached."""
        # After a pause of this process, a missing reply proves nothing.
        if time.monotonic() - self._suspicions_checked_at > OWN_PAUSE_MIN_S:
            return
        current = self._parts.local.table.find(member.node_id)
        if (
            current is None
            or current.state is not MemberState.ALIVE
            or current != member
        ):
            return
        if self._is_suspicion_deferred(current):
            return
        if self._parts.local.mark_state(current, MemberState.SUSPECT):
            self._parts.counters.add("membership_suspicions")

    def _probe(self, member: Member) -> None:
        self._parts.counters.add("membership_probes")
        # The probe carries the suspicion, so that the suspect can refute it.
        updates = () if member.state is MemberState.ALIVE else (member,)
        payload = self._parts.disseminator.compose_gossip(member.node_id, updates)

        def on_done(result: ExchangeResult) -> None:
            if self._apply_reply(member, result):
                self.on_probe_answered(member, "direct")
            else:
                self._probe_indirectly(member)

        exchange = Exchange(Kind.PING, payload, self._settings.probe_timeout_s, on_done)
        self._parts.links.submit(member.control_address, exchange)

    def _apply_reply(self, member: Member, result: ExchangeResult) -> bool:
        if isinstance(result, Err):
            return False
        gossip = unpack(result.ok_value.payload, Gossip)
        if isinstance(gossip, Err):
            return False
        self._parts.disseminator.apply_gossip(gossip.ok_value)
        self._parts.reconciler.compare_digests(gossip.ok_value, member.control_address)
        # Another node may have the address now; its reply says nothing of the member.
        return gossip.ok_value.sender == member.node_id

    def _probe_indirectly(self, member: Member) -> None:
        probers = self._parts.topology.indirect_probers(member)
        if not probers:
            self.on_probe_failed(member)
            return
        probe = _IndirectProbe(self, member, len(probers))
        request = ProbeRequest(member.node_id, member.control_address)
        timeout_s = self._settings.probe_timeout_s * INDIRECT_TIMEOUT_FACTOR
        exchange = Exchange(Kind.PROBE, pack(request), timeout_s, probe.on_report)
        for prober in probers:
            self._parts.links.submit(prober.control_address, exchange)

    def _is_suspicion_deferred(self, member: Member) -> bool:
        """Return whether it is too early to suspect a member of another data centre.

        See :data:`DATA_CENTRE_GRACE_S`.

        Also records the data centre as unreachable until a message from there arrives.
        """
        data_centre = member.data_centre
        if data_centre == self._parts.local.own_entry.data_centre:
            return False
        if self._parts.topology.n_live(data_centre) < 2:
            return False
        last_message_at = self._last_message_at.setdefault(
            data_centre, time.monotonic()
        )
        if data_centre not in self._unreachable_data_centres:
            self._unreachable_data_centres.add(data_centre)
            self._parts.events.record(
                "data-centre:unreachable", data_centre=data_centre
            )
        return time.monotonic() - last_message_at < DATA_CENTRE_GRACE_S

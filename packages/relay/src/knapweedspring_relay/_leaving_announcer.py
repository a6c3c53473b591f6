"""Makes the leaving of the upstream beside this node outlive this process."""

from knapweedspring_relay._knowledge import Knowledge
from knapweedspring_relay._local_upstream import UpstreamTracker
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._task_supervisor import TaskSupervisor
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["MAX_PUBLISH_WAIT_S", "LeavingAnnouncer"]

#: Longest time for which the acknowledgement of a leaving waits for the store, in
#: seconds. An acknowledgement that takes a second does not count.
MAX_PUBLISH_WAIT_S = 0.5
#: Time for which the store may leave a leaving unconfirmed before peers are told of it,
#: in seconds.
PEERS_TOLD_AFTER_S = 0.1


class LeavingAnnouncer:
    """Tells the store and other nodes that the upstream leaves.

    The store keeps it. The nodes that this node follows, or that follow it, learn it at
    once, and some others while the store does not answer.

    :param node: name of this node.
    :param tracker: tracks the state of the upstream.
    :param knowledge: publishes the entry, and reaches other nodes.
    :param supervisor: runs the calls to other nodes.
    :param log: decision log.
    """

    def __init__(
        self,
        node: str,
        tracker: UpstreamTracker,
        knowledge: Knowledge,
        supervisor: TaskSupervisor,
        log: DecisionLog,
    ) -> None:
        self._node = node
        self._tracker = tracker
        self._knowledge = knowledge
        self._supervisor = supervisor
        self._log = log

    def announce(self) -> None:
        """Tell the linked nodes of a change of the upstream if it leaves."""
        process = self._leaving_process()
        if process is not None:
            self._knowledge.announce_leaving(process)

    async def wait_published(self) -> None:
        """Wait until the store has the state of the upstream, for a short time."""
        own_entry, process = self._knowledge.own_entry, self._leaving_process()
        if await own_entry.wait_stored(PEERS_TOLD_AFTER_S):
            return
        if process is not None:
            self._supervisor.start("leaving", lambda: self._tell_peers(process))
        if not await own_entry.wait_stored(MAX_PUBLISH_WAIT_S - PEERS_TOLD_AFTER_S):
            self._log.write_state("upstream:not-published", after_s=MAX_PUBLISH_WAIT_S)

    async def _tell_peers(self, process: UpstreamProcess) -> None:
        n_peers = await self._knowledge.tell_leaving(process)
        self._log.write_state(
            "upstream:peers-told", instance=process.instance, n_peers=n_peers
        )

    def _leaving_process(self) -> UpstreamProcess | None:
        upstream = self._tracker.current
        if upstream is None or upstream.is_ready:
            return None
        return UpstreamProcess(self._node, upstream.instance, upstream.born_ms)

"""Processes of upstreams that are known to leave, whatever their entries say."""

from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["Leavings"]

#: Number of processes that are remembered; beyond it, the first one is forgotten.
MAX_LEAVING = 4_096
#: Time for which a leaving is passed on to other nodes, in seconds. An upstream that
#: leaves has ended then, and reports that it sent before have arrived.
PASSED_ON_S = 60.0


class Leavings:
    """Remembers processes that leave, and passes the latest ones on.

    The store may not have a leaving: it was away when the node beside the upstream
    acknowledged it, or it was restored from an older copy since.
    """

    def __init__(self) -> None:
        #: Times at which processes became known to leave, on the monotonic clock, in
        #: seconds.
        self._known_at: dict[UpstreamProcess, float] = {}
        self._n_changes = 0

    @property
    def n_changes(self) -> int:
        """Number of processes recorded so far."""
        return self._n_changes

    def __contains__(self, process: UpstreamProcess) -> bool:
        return process in self._known_at

    def record(self, process: UpstreamProcess, now: float) -> bool:
        """Record that a process leaves.

        :param process: the process.
        :param now: monotonic time, in seconds.
        :return: whether it was not known.
        """
        if process in self._known_at:
            return False
        self._known_at[process] = now
        self._n_changes += 1
        if len(self._known_at) > MAX_LEAVING:
            del self._known_at[next(iter(self._known_at))]
        return True

    def latest(self, now: float) -> tuple[UpstreamProcess, ...]:
        """Return the processes that became known within ``PASSED_ON_S``.

        :param now: monotonic time, in seconds.
        """
        found = []
        for process in reversed(self._known_at):
            if now - self._known_at[process] > PASSED_ON_S:
                break
            found.append(process)
        return tuple(found)

    def of_node(self, node: str) -> tuple[UpstreamProcess, ...]:
        """Return the processes beside a node.

        :param node: name of the node.
        """
        return tuple(process for process in self._known_at if process.node == node)

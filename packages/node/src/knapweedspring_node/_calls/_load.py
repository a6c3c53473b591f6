"""Gate load and its text form in the replies between nodes."""

from dataclasses import dataclass

from knapweedspring_node._calls._rank import Level

__all__ = ["GateLoad", "format_level", "parse_level"]

_NO_LEVEL = "-"


@dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of a gate, sent to other nodes with each reply.

    >>> GateLoad(free=3, limit=30, n_waiting=0, level=Level(2, True, 9)).to_header()
    '3/30/0/2.1.9'
    """

    #: Number of further calls that the gate would start without queueing them.
    free: int
    #: Number of calls that the gate runs at the same time.
    limit: int
    #: Number of queued calls.
    n_waiting: int
    #: The lowest rank that the gate admits; None when it admits every rank.
    level: Level | None = None

    @property
    def occupancy(self) -> float:
        """Running and queued calls, as a share of the limit."""
        n_running = self.limit - self.free
        return (n_running + self.n_waiting) / max(1, self.limit)

    def to_header(self) -> str:
        """Return the compact text for the ``Kws-Load`` header."""
        return f"{self.free}/{self.limit}/{self.n_waiting}/{format_level(self.level)}"

    @classmethod
    def from_header(cls, text: str) -> "GateLoad | None":
        """Parse the text of :meth:`to_header`, ignoring levels appended to it.

        :return: the load, or None when the text is malformed.
        """
        fields = text.partition(";")[0].split("/")
        if len(fields) != 4:
            return None
        try:
            free, limit, n_waiting = (int(field) for field in fields[:3])
        except ValueError:
            return None
        level = parse_level(fields[3])
        if level is None and fields[3] != _NO_LEVEL:
            return None
        return cls(free, limit, n_waiting, level)


def format_level(level: Level | None) -> str:
    """Return the compact text of a level."""
    if level is None:
        return _NO_LEVEL
    return f"{level.priority}.{int(level.started)}.{level.draw}"


def parse_level(text: str) -> Level | None:
    """Parse the text of :func:`format_level`.

    :return: the level; None when the text stands for no level or is malformed.
    """
    try:
        priority, started, draw = (int(field) for field in text.split("."))
    except ValueError:
        return None
    return Level(priority, bool(started), draw)

"""One node process: its parts, their supervisor tree, and the planned stop."""

import secrets
import threading
from dataclasses import dataclass

from knapweedspring_core import (
    Counters,
    DeclarationStore,
    EventLog,
    HttpPlatform,
    Supervisor,
    TimerService,
)
from knapweedspring_node._calls import (
    CallStack,
)
from knapweedspring_node._membership import (
    MembershipService,
)
from knapweedspring_node._settings import NodeSettings

__all__ = ["Node", "StartError"]

STOP_POLL_S = 0.05
#: An upstream that was silent for so long is not sent new work.
UPSTREAM_SILENCE_S = 5.0
SWITCH_INTERVAL_S = 0.001


@dataclass(frozen=True, slots=True)
class StartError:
    """Why a node cannot start."""

    #: What to change.
    detail: str


class Node:
    """A node of the mesh.

    :param settings: as read from the settings file.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._epoch = secrets.randbits(62) | 1
        self._events = EventLog(settings.node_id)
        self._counters = Counters()
        self._store = DeclarationStore()
        self._timers = TimerService(on_error=self._on_timer_error)
        self._draining = threading.Event()
        self._heard_at: dict[str, float] = {}
        self._tree = Supervisor("node")
        self._platform = HttpPlatform(settings.platform_address)

    @property
    def store(self) -> DeclarationStore:
        """Declarations in force."""
        return self._store

    @property
    def events(self) -> EventLog:
        """Changes of state of this node."""
        return self._events

    @property
    def counters(self) -> Counters:
        """Counts of this node."""
        return self._counters

    @property
    def draining(self) -> bool:
        """Whether the node is leaving."""
        return self._draining.is_set()

    @property
    def calls(self) -> CallStack:
        """The call path."""
        return self._calls

    @property
    def membership(self) -> MembershipService:
        """Who is there."""
        return self._membership

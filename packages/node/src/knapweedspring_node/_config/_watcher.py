"""Reads declarations from the platform and merges them into the store."""

import random
import threading
from collections.abc import Callable

from result import Err, Result

from knapweedspring_core import (
    CHECKPOINT_KEY,
    CONTACTS_KIND,
    DECLARATION_TYPES,
    STATUS_KIND,
    Counters,
    DeclarationStore,
    EventLog,
    ObjectChanges,
    ObjectRecord,
    Platform,
    PlatformError,
    PlatformVersionTooOld,
    ThreadChild,
    parse_status,
)
from knapweedspring_node._config._roles import Roles

__all__ = ["PlatformWatcher"]

#: Longest wait of one watch request for a change, in seconds.
WATCH_WAIT_S = 20.0
#: Seconds between two checks whether this node has become a watcher.
ROLE_CHECK_PERIOD_S = 0.25
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 5.0
WATCHED_KINDS = (*sorted(DECLARATION_TYPES), CONTACTS_KIND)


class PlatformWatcher(ThreadChild):
    """Lists the declarations and watches for changes while this node is a watcher.

    During an outage requests are retried with exponential backoff and jitter, and
    the store keeps its declarations. When the platform no longer has all changes
    since the version that a watch starts from, the declarations are listed again.

    :param platform: client with which objects are listed and watched.
    :param store: receives the declarations that were read.
    :param roles: returns whether this node is a watcher.
    :param events: records when the platform becomes reachable or unreachable.
    :param counters: counts lists, watches and failures.
    :param on_contacts: called with each ``Contacts`` object that was read.
    """

    def __init__(
        self,
        platform: Platform,
        store: DeclarationStore,
        roles: Roles,
        events: EventLog,
        counters: Counters,
        on_contacts: Callable[[ObjectRecord], None] = lambda _: None,
    ) -> None:
        super().__init__(
            "platform-watcher", self._watch, self._request_stop, self._record_failure
        )
        self._platform = platform
        self._store = store
        self._roles = roles
        self._events = events
        self._counters = counters
        self._on_contacts = on_contacts
        self._stopped = threading.Event()
        self._random = random.Random()
        #: Platform version up to which changes were read; None when the next request
        #: must be a list.
        self._version: int | None = None
        self._highest_version = 0
        self._version_went_back = False
        self._reachable: bool | None = None
        self._backoff_s = BACKOFF_MIN_S

    @property
    def is_watching(self) -> bool:
        """Whether this node is a watcher and its last request succeeded."""
        return self._version is not None and self._reachable is True

    def join(self, timeout_s: float) -> bool:
        """Wait for the thread, but not for a watch request in progress.

        A watch changes nothing on the platform, so its thread may end with the
        process.

        :param timeout_s: longest wait in seconds, at most ``ROLE_CHECK_PERIOD_S``.
        :return: always True.
        """
        super().join(min(timeout_s, ROLE_CHECK_PERIOD_S))
        return True

    def _request_stop(self) -> None:
        self._stopped.set()

    def _watch(self) -> None:
        while not self._stopped.is_set():
            if self._roles.is_watcher:
                self._read_and_apply()
                continue
            # A node that becomes a watcher again starts with a list, since the
            # platform may have discarded changes made since the last watch.
            self._version = None
            self._stopped.wait(ROLE_CHECK_PERIOD_S)

    def _read_and_apply(self) -> None:
        read = self._list_or_watch()
        if isinstance(read, Err):
            self._handle_failure(read.err_value)
            return
        self._set_reachable(True)
        self._backoff_s = BACKOFF_MIN_S
        self._apply_changes(read.ok_value)

    def _list_or_watch(self) -> Result[ObjectChanges, PlatformError]:
        if self._version is None:
            self._counters.add("platform_reads", "list")
            return self._platform.list_all((*WATCHED_KINDS, STATUS_KIND))
        self._counters.add("platform_reads", "watch")
        return self._platform.watch(self._version, WATCH_WAIT_S, WATCHED_KINDS)

    def _apply_changes(self, changes: ObjectChanges) -> None:
        self._check_version(changes.version)
        declared = tuple(
            record for record in changes.records if record.key.kind in DECLARATION_TYPES
        )
        if self._version is None:
            self._store.merge_list(declared, changes.version)
        else:
            for record in declared:
                self._store.merge(record)
        self._version = changes.version
        for record in changes.records:
            if record.key.kind == CONTACTS_KIND:
                self._on_contacts(record)
            elif record.key.kind == STATUS_KIND:
                self._merge_copies(record)

    def _merge_copies(self, status: ObjectRecord) -> None:
        """Merge the valid versions whose copies a status object holds.

        Invalid writes may have replaced these versions on the platform.
        """
        parsed = parse_status(status)
        if isinstance(parsed, Err):
            return
        for copy in parsed.ok_value.content_copy_records():
            self._store.merge(copy)

    def _check_version(self, version: int) -> None:
        """Report a platform that was restored from an older backup.

        Nodes never return to lower versions, so they ignore every write until the
        platform's version exceeds theirs. Only operators can correct this.
        """
        highest = max(self._highest_version, self._store.version_of(CHECKPOINT_KEY))
        went_back = version < highest
        if went_back and not self._version_went_back:
            self._counters.add("platform_failures", "version-went-back")
            self._events.record(
                "platform:version-went-back", version=version, highest=highest
            )
        self._version_went_back = went_back
        self._highest_version = max(highest, version)

    def _handle_failure(self, error: PlatformError) -> None:
        self._counters.add("platform_failures", type(error).__name__)
        if isinstance(error, PlatformVersionTooOld):
            self._version = None
            self._events.record("platform:version-too-old")
            return
        self._set_reachable(False, str(error))
        # Jitter over the whole pause keeps the watchers of a firm from retrying all
        # at once after an outage.
        self._stopped.wait(self._random.uniform(0, self._backoff_s))
        self._backoff_s = min(self._backoff_s * 2, BACKOFF_MAX_S)

    def _set_reachable(self, reachable: bool, detail: str = "") -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        kind = "platform:reachable" if reachable else "platform:unreachable"
        self._events.record(kind, detail=detail)

    def _record_failure(self, _: str, error: BaseException) -> None:
        self._version = None
        self._counters.add("platform_failures", "internal")
        self._events.record("platform:watcher-failed", detail=repr(error))

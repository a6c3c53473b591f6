"""Configuration and directory as one node passes them on to another."""

import msgspec

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import Configuration
from knapweedspring_relay._crash_records import CrashRecord, CrashRecords
from knapweedspring_relay._knowledge._declared_state import DeclaredState
from knapweedspring_relay._knowledge._directory import (
    Directory,
    DirectorySnapshot,
    GateEntry,
    SkippedEntry,
)
from knapweedspring_relay._knowledge._entry_rules import problem_of_entry
from knapweedspring_relay._knowledge._position import StorePosition
from knapweedspring_relay._knowledge._skipped_entries import SkippedEntryReporter
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["PeerSnapshot", "apply_peer_snapshot", "make_peer_snapshot"]


class PeerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows, limited to the parts that are newer than the reader's."""

    #: Configuration in force at the node; None when it is not newer than the reader's
    #: configuration, or when there is none.
    configuration: Configuration | None
    #: Version of the configuration in force at the node; 0 when there is none.
    version: int
    #: Position of the store up to which the node's configuration was read.
    configuration_position: StorePosition
    #: Position of the node's directory.
    position: StorePosition
    #: All entries, or the changed ones; None when the directory is not newer than the
    #: reader's.
    entries: tuple[GateEntry, ...] | None = None
    #: Whether ``entries`` are all entries.
    is_listing: bool = False
    #: Nodes whose entries were removed; empty in a listing.
    removed: tuple[str, ...] = ()
    #: Whether the node watches the store, and the store answers it.
    is_watching: bool = False
    #: Address of the node's gate, as ``ip:port``.
    gate_address: str = ""
    #: Requests that are refused because upstreams ended while they ran them; empty also
    #: when the reader has received them.
    refused: tuple[CrashRecord, ...] = ()
    #: Whether the configuration states its workspaces. Nodes of versions that know none
    #: pass it on without them, which must not open all routes.
    states_workspaces: bool = False
    #: Time since the store confirmed what the snapshot says, in seconds; None when it
    #: never did. Nodes of versions that do not check their watches send none.
    confirmed_age_s: float | None = None
    #: Processes that leave although their entries do not say so; empty also when the
    #: reader has received them. Nodes of older versions send none.
    leaving: tuple[UpstreamProcess, ...] = ()


def make_peer_snapshot(
    state: DeclaredState,
    directory: Directory,
    refused: tuple[CrashRecord, ...],
    version: int,
    position: StorePosition,
    is_watching: bool,
    gate_address: str,
    confirmed_age_s: float | None = None,
) -> PeerSnapshot:
    """Return what a node knows beyond what a reader knows.

    :param state: the node's configuration.
    :param directory: the node's directory.
    :param refused: requests that the node refuses.
    :param version: version of the reader's configuration.
    :param position: position of the reader's directory.
    :param is_watching: whether the node watches the store.
    :param gate_address: address of the node's gate.
    :param confirmed_age_s: time since the store confirmed what the node knows, in
        seconds; None when it never did.
    """
    table = state.table
    configuration = table.configuration if table is not None else None
    if configuration is not None and configuration.version <= version:
        configuration = None
    entries, removed, is_listing = None, [], False
    if directory.position > position:
        changed = directory.nodes_changed_since(position)
        if changed is None:
            entries, is_listing = directory.listed_entries(), True
        else:
            found = {node: directory.listed_entry(node) for node in sorted(changed)}
            entries = tuple(entry for entry in found.values() if entry is not None)
            removed = [node for node, entry in found.items() if entry is None]
    return PeerSnapshot(
        configuration=configuration,
        version=state.version,
        configuration_position=state.position,
        position=directory.position,
        entries=entries,
        is_listing=is_listing,
        removed=tuple(removed),
        is_watching=is_watching,
        gate_address=gate_address,
        refused=refused,
        states_workspaces=True,
        confirmed_age_s=confirmed_age_s,
        leaving=directory.leavings_to_pass_on(now_s()),
    )


def apply_peer_snapshot(
    snapshot: PeerSnapshot,
    state: DeclaredState,
    directory: Directory,
    crashes: CrashRecords,
    skipped: SkippedEntryReporter,
    now: float,
) -> bool:
    """Apply what a peer knows, except entries that cannot be used.

    A peer of a version that does not check the entries of other writers passes them on.

    :param snapshot: received from the peer.
    :param state: this node's configuration.
    :param directory: this node's directory.
    :param crashes: requests that this node refuses.
    :param skipped: reports entries that cannot be used.
    :param now: monotonic time, in seconds.
    :return: whether the directory was updated.
    """
    for record in snapshot.refused:
        crashes.merge(record, now)
    if snapshot.configuration is not None:
        if snapshot.states_workspaces:
            state.apply(snapshot.configuration, "peer")
        else:
            # The whole configuration is read from the store instead.
            state.observe_version(snapshot.configuration.version)
    if snapshot.version == state.version:
        state.advance(snapshot.configuration_position)
    learnt = [
        process for process in snapshot.leaving if directory.record_leaving(process)
    ]
    return _apply_entries(snapshot, directory, skipped, now) or bool(learnt)


def _apply_entries(
    snapshot: PeerSnapshot,
    directory: Directory,
    skipped: SkippedEntryReporter,
    now: float,
) -> bool:
    if snapshot.entries is None:
        return False
    problems = {entry.node: problem_of_entry(entry) for entry in snapshot.entries}
    unusable = {node: problem for node, problem in problems.items() if problem}
    skipped.report([SkippedEntry(*item) for item in unusable.items()], "peer")
    usable = [entry for entry in snapshot.entries if entry.node not in unusable]
    skipped.forget(entry.node for entry in usable)
    if snapshot.is_listing:
        entries = {entry.node: entry for entry in usable}
        return directory.apply_listing(
            DirectorySnapshot(snapshot.position, entries), now
        )
    removed = (*snapshot.removed, *unusable)
    return directory.apply_changes(snapshot.position, usable, removed, now)

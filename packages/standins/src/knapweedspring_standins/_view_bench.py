"""Measures the cost of a large membership view on one node, without a mesh.

Run ``python -m knapweedspring_standins._view_bench``: it fills the membership view
of one node with members that do not exist, and times the operations whose cost
grows with their number.
"""

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from knapweedspring_core import (
    AnnouncedUpstream,
    Counters,
    DeclarationStore,
    EventLog,
    Member,
)
from knapweedspring_node._membership._digest import N_BUCKETS
from knapweedspring_node._membership._local_state import LocalState
from knapweedspring_node._membership._messages import Entries, pack, unpack
from knapweedspring_node._membership._settings import Identity
from knapweedspring_node._membership._topology import Topology

__all__ = ["ViewFigures", "measure"]

N_DATA_CENTRES = 4
N_SERVICES = 8
N_REPEATS = 50
_KB_PER_MB = 1_024
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class ViewFigures:
    """Cost of a membership view of one size."""

    #: Number of members in the view.
    n_members: int
    #: Resident memory of the view, in MB.
    memory_mb: float
    #: Mean time to merge one changed entry, in ms.
    merge_ms: float
    #: Mean time to merge a new member and choose the node's neighbours again, in ms.
    neighbours_ms: float
    #: Size of a transfer of the whole view, in KB.
    transfer_kb: float
    #: Mean time to encode such a transfer, in ms.
    pack_ms: float
    #: Mean time to decode such a transfer and merge it into an empty view, in ms.
    unpack_ms: float


def measure(n_members: int) -> ViewFigures:
    """Fill a membership view and time its operations.

    :param n_members: number of members.
    :return: memory of the view, size of a full transfer, and mean times of the
        operations.
    """
    members = [_member(index) for index in range(n_members)]
    memory_before_kb = _memory_kb()
    local_state = _local_state(members[0])
    # The view gets decoded copies, so that it shares no strings with ``members``.
    entries = _full_transfer(tuple(members))
    copies = unpack(pack(entries), Entries).unwrap()
    local_state.merge_transfer(copies.members, ())
    topology = Topology(local_state.table, "node-0", "dc-0", seed=1)
    topology.neighbours()
    memory_mb = (_memory_kb() - memory_before_kb) / _KB_PER_MB
    packed = pack(entries)
    return ViewFigures(
        n_members=n_members,
        memory_mb=memory_mb,
        merge_ms=_mean_ms(
            lambda number: _merge_change(local_state, members[-1], number)
        ),
        neighbours_ms=_mean_ms(
            lambda number: _merge_join(local_state, topology, number)
        ),
        transfer_kb=len(packed) / _KB_PER_MB,
        pack_ms=_mean_ms(lambda _: pack(entries), 5),
        unpack_ms=_mean_ms(lambda _: _unpack_and_merge(packed, members[0]), 5),
    )


def _local_state(own: Member) -> LocalState:
    identity = Identity(own.node_id, "bench", own.data_centre, "", "", 1)
    return LocalState(identity, DeclarationStore(), EventLog("bench"), Counters())


def _member(index: int) -> Member:
    address = f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}"
    service = f"service-{index % N_SERVICES}"
    return Member(
        node_id=f"node-{index}",
        incarnation=1_700_000_000_000 + index,
        data_centre=f"dc-{index % N_DATA_CENTRES}",
        call_address=f"{address}:7001",
        control_address=f"{address}:7002",
        admin_address=f"{address}:7003",
        upstreams=(AnnouncedUpstream(service, f"{address}:8000", 150, 1_000),),
        revision=2,
    )


def _full_transfer(members: tuple[Member, ...]) -> Entries:
    buckets = tuple(range(N_BUCKETS))
    return Entries(buckets, buckets, members, ())


def _merge_change(local_state: LocalState, member: Member, number: int) -> None:
    local_state.merge_members((replace(member, revision=10 + number),))


def _merge_join(local_state: LocalState, topology: Topology, number: int) -> None:
    local_state.merge_members((_member(100_000 + number),))
    # neighbours() would not choose again soon after the last choice.
    topology.reselect_neighbours()


def _unpack_and_merge(packed: bytes, own: Member) -> None:
    received = unpack(packed, Entries).unwrap()
    _local_state(own).merge_transfer(received.members, received.records)


def _mean_ms(step: Callable[[int], object], n_repeats: int = N_REPEATS) -> float:
    began_at = time.perf_counter()
    for number in range(n_repeats):
        step(number)
    return (time.perf_counter() - began_at) / n_repeats * _MS_PER_S


def _memory_kb() -> int:
    status = Path("/proc/self/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1])


def main(arguments: list[str] | None = None) -> int:
    """Measure a view of each size and print a table.

    :param arguments: command line without the program's name.
    :return: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[64, 1_000, 5_000])
    options = parser.parse_args(arguments)
    print(
        "members  memory MB  merge ms  neighbours ms  transfer KB  pack ms  unpack ms"
    )
    for n_members in options.sizes:
        figures = measure(n_members)
        print(
            f"{figures.n_members:7}  {figures.memory_mb:9.1f}  "
            f"{figures.merge_ms:8.2f}  {figures.neighbours_ms:13.2f}  "
            f"{figures.transfer_kb:11.1f}  {figures.pack_ms:7.1f}  "
            f"{figures.unpack_ms:9.1f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())

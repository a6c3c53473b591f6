"""Tells all nodes which requests were running when an upstream ended."""

import asyncio

from knapweedspring_core import Counters
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_records import CrashRecord, CrashRecords
from knapweedspring_relay._errors import ConnectFailed
from knapweedspring_relay._hop_client import HopPool
from knapweedspring_relay._hop_frames import CrashFrame
from knapweedspring_relay._knowledge import Directory
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["CrashExchange"]

#: Pauses before a node that could not be reached is tried again, in seconds. Nodes that
#: stay unreachable learn of refused requests from their source, or with a call.
RETRY_PAUSES_S = (0.3, 0.7, 1.5)
#: Maximum number of nodes that are being told at the same time.
MAX_CONCURRENT = 32


class CrashExchange:
    """Sends crashes to all nodes, and applies those that other nodes report.

    :param node: name of this node.
    :param records: crashes known to this node.
    :param directory: the nodes of the deployment.
    :param pool: connections to other nodes.
    :param counters: counts crashes and failed messages.
    """

    def __init__(
        self,
        node: str,
        records: CrashRecords,
        directory: Directory,
        pool: HopPool,
        counters: Counters,
    ) -> None:
        self._node = node
        self._records = records
        self._directory = directory
        self._pool = pool
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def report(self, process: UpstreamProcess, fingerprints: tuple[bytes, ...]) -> None:
        """Record a crash of the local upstream and tell all other nodes.

        :param process: the process that ended.
        :param fingerprints: fingerprints of the requests that it was running.
        """
        self._counters.add("upstream_crashes")
        frame = CrashFrame(process, fingerprints)
        self.receive(frame)
        task = asyncio.get_running_loop().create_task(self._send_to_all(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def receive(self, frame: CrashFrame) -> None:
        """Record a crash.

        :param frame: the process that ended, and the requests that it was running.
        """
        now = now_s()
        for fingerprint in frame.fingerprints:
            self._records.merge(CrashRecord(fingerprint, (frame.process,), 0.0), now)

    def stop(self) -> None:
        """Cancel the messages that are being sent."""
        for task in self._tasks:
            task.cancel()

    async def _send_to_all(self, frame: CrashFrame) -> None:
        limit = asyncio.Semaphore(MAX_CONCURRENT)
        addresses = [
            entry.gate_address
            for entry in self._directory.entries.values()
            if entry.node != self._node
        ]
        await asyncio.gather(*(self._send(a, frame, limit) for a in addresses))

    async def _send(
        self, address: str, frame: CrashFrame, limit: asyncio.Semaphore
    ) -> None:
        for pause_s in (*RETRY_PAUSES_S, None):
            async with limit:
                try:
                    await self._pool.notify(address, frame)
                    return
                except ConnectFailed:
                    self._counters.add("crash_messages_failed")
            if pause_s is not None:
                await asyncio.sleep(pause_s)

"""Guards against nodes that do not learn in time which requests are refused.

All nodes have to know within the time after which they count as in touch, whatever
their number; some cannot be reached at first.
"""

import asyncio
import time

import pytest
from _deployment import Deployment, IgnoredQuotas, answer_ok, free_address

from knapweedspring_core import Counters
from knapweedspring_relay import GateEntry, UpstreamState
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._crash_exchange import CrashExchange
from knapweedspring_relay._crash_records import CrashRecord, CrashRecords
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_frames import CrashFrame
from knapweedspring_relay._hop_listener import HopListener
from knapweedspring_relay._knowledge import Directory, DirectorySnapshot, StorePosition
from knapweedspring_relay._requests import Request
from knapweedspring_relay._upstream_process import UpstreamProcess

#: Time within which all nodes have to know, in seconds.
CONTACT_S = 3.0
#: The request that ``Deployment.call`` sends.
CALL = Request(b"GET", b"/read/1", [(b"host", b"h")], b"", 0.0, True)
PROCESSES = tuple(UpstreamProcess("n0", "i", born_ms) for born_ms in range(3))


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


class Node:
    """Listener of one node, with its records."""

    def __init__(self, index):
        self.index = index
        self.records = CrashRecords(lambda _: None)

    async def start(self, address="127.0.0.1:0"):
        self.listener = HopListener(
            address,
            None,
            _NoFollowers(),
            IgnoredQuotas(),
            None,
            self.receive,
            lambda *_: None,
        )
        await self.listener.start()
        port = self.listener._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    @property
    def entry(self):
        return GateEntry(
            f"n{self.index}",
            self.address,
            "",
            "dc",
            "svc",
            f"i-{self.index}",
            1,
            20,
            UpstreamState.READY,
        )

    def receive(self, frame):
        for fingerprint in frame.fingerprints:
            self.records.merge(CrashRecord(fingerprint, (frame.process,), 0.0), 0.0)


class _NoFollowers:
    def remove(self, follower):
        pass


@pytest.mark.parametrize("n_nodes", [8, 32, 195])
def test_all_nodes_know_within_the_bound(n_nodes):
    async def scenario():
        nodes = [Node(index) for index in range(n_nodes)]
        for node in nodes[:-1]:
            await node.start()
        # One node is not reachable at first. Its port must not be taken meanwhile.
        late = nodes[-1]
        late.address = free_address()
        await asyncio.sleep(0.05)
        directory = Directory()
        entries = {node.entry.node: node.entry for node in nodes}
        directory.apply_listing(DirectorySnapshot(StorePosition(0, 1), entries), 0.0)
        pool = HopPool(HopSettings(0.4, 1.0))
        exchange = CrashExchange("n0", nodes[0].records, directory, pool, Counters())
        began_at = time.monotonic()
        for process in PROCESSES:
            exchange.report(process, (b"cause", b"other"))
        await asyncio.sleep(0.5)
        await late.start(late.address)
        while not all(n.records.is_refused(b"cause", 0.0) for n in nodes):
            assert time.monotonic() < began_at + CONTACT_S
            await asyncio.sleep(0.01)
        pool.close()
        exchange.stop()
        for node in nodes:
            node.listener.close()

    run(scenario)


def test_node_that_missed_the_messages_learns_from_its_source():
    async def scenario():
        async with Deployment([answer_ok] * 3) as deployment:
            # A node that follows another one; the other nodes know.
            ignorant = next(
                relay
                for relay in deployment.relays
                if relay._knowledge.sources.source_node
            )
            for relay in deployment.relays:
                for process in PROCESSES:
                    if relay is not ignorant:
                        relay._path.crash_exchange.receive(
                            CrashFrame(process, (b"cause",))
                        )
            await deployment.wait_until(
                lambda: ignorant._crashes.n_refused == 1, limit_s=CONTACT_S
            )

    run(scenario)


def test_entry_and_gate_teach_each_other_with_a_call():
    async def scenario():
        async with Deployment(
            [answer_ok, answer_ok], services=["svc", "other"]
        ) as deployment:
            gate, entry = deployment.relays
            assert (await deployment.call(index=1))[0] == 200
            for relay in (gate, entry):
                relay._crashes._successful.clear()
            n_sent = len(deployment.upstreams[0].requests)
            request = entry._entry._fingerprinter.fingerprint(CALL)
            # The gate knows two of the crashes, the entry the third.
            for process in PROCESSES[:2]:
                gate._crashes.merge(CrashRecord(request, (process,), 0.0), now_s())
            entry._crashes.merge(CrashRecord(request, (PROCESSES[2],), 0.0), now_s())
            status, answer, _ = await deployment.call(index=1)
            assert status == 503
            assert float(answer.header(b"retry-after")) > 60.0
            assert len(deployment.upstreams[0].requests) == n_sent
            assert entry._crashes.n_refused == gate._crashes.n_refused == 1
            # Other requests are served.
            assert (await deployment.call("/read/2", index=1))[0] == 200

    run(scenario)


def test_frame_with_a_process_of_another_type_ends_only_its_connection():
    async def scenario():
        async with Deployment([answer_ok]) as deployment:
            host, port = deployment.settings[0].gate_address.split(":")
            for content in (b"\x93\x0c\x01\x90", b"\x93\x0c\x93\xa1n\xa1i\xa1x\x90"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(len(content).to_bytes(4, "big") + content)
                assert await asyncio.wait_for(reader.read(-1), 2.0) == b""
                writer.close()
            assert (await deployment.call())[0] == 200

    run(scenario)

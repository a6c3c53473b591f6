"""Guards against a malformed quota frame that ends more than its connection."""

import asyncio

import pytest
from _deployment import Deployment, answer_ok, make_configuration

from knapweedspring_relay import Quota, Workspace, digest_key
from knapweedspring_relay._hop_frames import (
    QuotaLeaseFrame,
    QuotaLoan,
    QuotaLoanRequestFrame,
    QuotaRequestFrame,
    QuotaReturnFrame,
    encode_frame,
)
from knapweedspring_relay._knowledge import Directory

LIMITED = Workspace("w1", (digest_key(b"k1"),), quota=Quota(50.0, 50.0))
BAD_FRAMES = (
    QuotaLeaseFrame("n9", idle_s=float("inf")),
    QuotaLeaseFrame("n9", idle_s=float("nan")),
    QuotaRequestFrame(1, "w1", 1, float("inf")),
    QuotaRequestFrame(1, "w1", -1, 0.1),
    QuotaReturnFrame("w1", -5),
    QuotaLoanRequestFrame((QuotaLoan("w1", float("nan"), 1.0),)),
)


@pytest.mark.parametrize("frame", BAD_FRAMES, ids=lambda frame: type(frame).__name__)
def test_frame_with_an_unusable_number_ends_only_its_connection(frame):
    async def scenario():
        declared = make_configuration(1, workspaces=(LIMITED,))
        async with Deployment([answer_ok], declared) as deployment:
            host, port = deployment.settings[0].gate_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_frame(frame))
            with pytest.raises(ConnectionError):
                if not await asyncio.wait_for(reader.read(100), 2.0):
                    raise ConnectionResetError
            await asyncio.sleep(1.5)
            assert (await deployment.call(x_key="k1"))[0] == 200

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_node_that_knows_no_other_node_grants_nothing():
    """After a restart the configuration may be known before the directory."""

    async def scenario():
        declared = make_configuration(1, workspaces=(LIMITED,))
        async with Deployment([answer_ok], declared) as deployment:
            quotas = deployment.relays[0]._path.quotas
            quotas._directory = Directory()
            quotas.update_entries()
            await asyncio.sleep(0.5)
            now = asyncio.get_running_loop().time()
            grant = quotas._coordinator.grant("w1", 10, 0.1, now)
            assert grant.delays_s == ()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_unknown_workspace_and_too_many_units_are_answered():
    async def scenario():
        declared = make_configuration(1, workspaces=(LIMITED,))
        async with Deployment([answer_ok], declared) as deployment:
            coordinator = deployment.relays[0]._path.quotas._coordinator
            await deployment.wait_until(lambda: coordinator.n_leases == 1)
            await asyncio.sleep(0.5)
            now = asyncio.get_running_loop().time()
            assert coordinator.grant("none", 1, 0.1, now) is None
            grant = coordinator.grant("w1", 10**9, 0.0, now)
            assert 1 <= len(grant.delays_s) <= 50
            assert 0.0 < grant.retry_after_s <= 5.0

    asyncio.run(asyncio.wait_for(scenario(), 20))

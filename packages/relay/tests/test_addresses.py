"""Guards against an odd address of another writer that fails a task.

asyncio raises ``OverflowError`` for a port out of range, which no caller expects, and
uvloop connects to another port.
"""

import asyncio

import pytest

from knapweedspring_relay import ConnectionPool, ConnectionSettings
from knapweedspring_relay._addresses import is_ip_address, split_address
from knapweedspring_relay._errors import ConnectFailed
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._peer_link import PeerLink

BAD_PORTS = [
    "0",
    "-1",
    "65536",
    "99999",
    "9" * 30,
    "",
    "http",
    " 80",
    "+80",
    "8_0",
    "٣",
]
BAD_ADDRESSES = [f"127.0.0.1:{port}" for port in BAD_PORTS] + ["127.0.0.1", "", "a b"]
BAD_HOSTS = ["a\0b", "x" * 70, "é..x", "\ud800", "[::1]", "", ".", "127.0.0.1\n"]
ODD_ADDRESSES = [*BAD_ADDRESSES, *(f"{host}:80" for host in BAD_HOSTS)]


@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_address_without_a_valid_port_is_refused(address):
    with pytest.raises(ValueError):
        split_address(address)


def test_address_is_split():
    assert split_address("10.0.0.1:65535") == ("10.0.0.1", 65_535)
    assert split_address("::1:80") == ("::1", 80)


@pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:65535", "::1:80"])
def test_ip_address_with_a_port_is_accepted(address):
    assert is_ip_address(address)


@pytest.mark.parametrize(
    "address", [*ODD_ADDRESSES, "0.0.0.0:80", "224.0.0.1:80", "name.example:80"]
)
def test_other_addresses_are_no_ip_addresses(address):
    assert not is_ip_address(address)


class Link(PeerLink):
    def __init__(self, address):
        super().__init__("n", address)
        self.reasons = []

    def handle_open(self):
        pass

    def handle_frame(self, frame):
        pass

    def handle_end(self, reason):
        self.reasons.append(reason)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_link_to_an_odd_address_ends(address):
    async def main():
        link = Link(address)
        await link._task
        return link.reasons

    assert len(asyncio.run(asyncio.wait_for(main(), 5))) == 1


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_connection_to_an_odd_address_fails(address):
    async def main():
        pool = ConnectionPool(ConnectionSettings(0.4, 1.0, 1.0))
        with pytest.raises(ConnectFailed):
            await pool.call(address, b"")
        hop_pool = HopPool(HopSettings(0.4, 1.0))
        with pytest.raises(ConnectFailed):
            await hop_pool._open_connection(address)

    asyncio.run(asyncio.wait_for(main(), 5))

"""A platform stand-in for the tests of every package."""

import threading
from collections.abc import Callable, Iterator

import pytest
import urllib3

from knapweedspring_core import HttpPlatform
from knapweedspring_standins._platform import PlatformServer


@pytest.fixture()
def server() -> Iterator[PlatformServer]:
    """Serve the object API inside the test's process."""
    server = PlatformServer()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield server
    server.stop()
    thread.join(10)


@pytest.fixture()
def client(server: PlatformServer) -> HttpPlatform:
    """Return a client that names no data centre."""
    return HttpPlatform(server.address)


@pytest.fixture()
def fault(server: PlatformServer) -> Callable[..., None]:
    """Return a function that replaces the platform's faults."""

    def put_into_effect(**faults: object) -> None:
        url = f"http://{server.address}/-/fault"
        assert urllib3.request("POST", url, json=faults).status == 200

    return put_into_effect

"""Guards against a fault proxy that misses or misapplies a fault.

Tests of node failures would then pass although the failure did not occur, for example
when a black hole forwards the close, or when a fault stays in force after its removal.
"""

import contextlib
import socket
import sys
import threading
import time

import pytest

from knapweedspring_standins import _fault_proxy
from knapweedspring_standins._fault_proxy import FaultProxy
from knapweedspring_standins._faults import (
    BlackHole,
    Delay,
    Direction,
    HalfOpen,
    RateLimit,
    Reorder,
    ResetConnections,
    TruncateAfter,
)
from knapweedspring_standins._port_owners import PortOwners
from knapweedspring_standins._processes import ProcessGroup, poll_until

#: Longest wait for data or for the end of a thread or process.
TIMEOUT_S = 20.0


@pytest.fixture
def echo_address():
    """Address of a server that echoes what it receives."""
    listener = socket.create_server(("127.0.0.1", 0))

    def echo(sock):
        with sock:
            try:
                while data := sock.recv(65_536):
                    sock.sendall(data)
            except OSError:
                return

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield "{}:{}".format(*listener.getsockname())
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@pytest.fixture
def proxy(echo_address):
    with FaultProxy(echo_address, seed=7) as proxy:
        yield proxy


def connect(proxy):
    host, port = proxy.address.split(":")
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(TIMEOUT_S)
    return sock


def receive(sock, n_bytes):
    data = b""
    while len(data) < n_bytes and (part := sock.recv(n_bytes - len(data))):
        data += part
    return data


def exchange(sock, data=b"hello"):
    """Send data and return the data that the server echoes."""
    sock.sendall(data)
    return receive(sock, len(data))


def receives_nothing(sock, seconds=0.3):
    """Return whether neither a byte nor a close arrives within some seconds."""
    sock.settimeout(seconds)
    try:
        # The result has at most one byte, so this is False for a byte and for a close.
        return sock.recv(1) == b"never"
    except TimeoutError:
        return True
    finally:
        sock.settimeout(TIMEOUT_S)


def test_all_bytes_are_forwarded_without_faults(proxy):
    with connect(proxy) as sock:
        data = bytes(range(256)) * 4_000
        threading.Thread(target=sock.sendall, args=(data,)).start()
        assert receive(sock, len(data)) == data


def test_delay_postpones_each_direction(proxy):
    with connect(proxy) as sock:
        proxy.set_faults(Delay(0.1, 0.05))
        started_at = time.monotonic()
        assert exchange(sock) == b"hello"
        assert time.monotonic() - started_at >= 0.2


@pytest.mark.parametrize("direction", list(Direction))
def test_black_hole_holds_one_direction_until_it_is_removed(proxy, direction):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(BlackHole(frozenset({direction})))
        sock.sendall(b"again")
        assert receives_nothing(sock)
        proxy.set_faults()
        assert receive(sock, 5) == b"again"


def test_truncate_after_resets_mid_answer(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(TruncateAfter(7))
        sock.sendall(b"0123456789")
        received = b""
        with pytest.raises(ConnectionResetError):
            while True:
                part = sock.recv(100)
                received += part
                if not part:
                    raise AssertionError("closed instead of reset")
        # A reset may discard the bytes that were received but not yet read.
        assert received in (b"0123456", b"")


def test_truncate_after_can_end_with_a_close(proxy):
    with connect(proxy) as sock:
        proxy.set_faults(TruncateAfter(7, closes=True))
        sock.sendall(b"0123456789")
        assert receive(sock, 10) == b"0123456"


def test_half_open_hides_the_close(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(HalfOpen())
        sock.shutdown(socket.SHUT_WR)
        assert receives_nothing(sock)


def test_close_is_forwarded_without_faults(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(1) == b""
    assert poll_until(lambda: proxy.n_open == 0, TIMEOUT_S)


def test_rate_limit_bounds_the_stream(proxy):
    to_caller = frozenset({Direction.TO_CALLER})
    with connect(proxy) as sock:
        proxy.set_faults(RateLimit(50_000, to_caller))
        started_at = time.monotonic()
        data = b"x" * 25_000
        assert exchange(sock, data) == data
        assert time.monotonic() - started_at >= 0.4


def test_reorder_lets_other_connections_overtake(proxy):
    proxy.set_faults(Reorder(0.5, 0.5, frozenset({Direction.TO_TARGET})))
    arrived = []

    def exchange_one(number):
        with connect(proxy) as sock:
            exchange(sock, b"%02d" % number)
            arrived.append(number)

    threads = []
    for number in range(8):
        threads.append(threading.Thread(target=exchange_one, args=(number,)))
        threads[-1].start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert sorted(arrived) == list(range(8))
    assert arrived != list(range(8))


def test_reset_fault_covers_open_and_new_connections(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(ResetConnections())
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    with connect(proxy) as sock, pytest.raises(ConnectionError):
        sock.sendall(b"x")
        if sock.recv(1) == b"":
            raise ConnectionError("closed")
    proxy.set_faults()
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"


@pytest.mark.parametrize("pause_s", [0.02, 0.1])
def test_reset_is_not_preceded_by_an_ordinary_end(proxy, monkeypatch, pause_s):
    """The threads that forward bytes may run between the steps of a reset."""

    def reset_slowly(sock):
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _fault_proxy.RESET_ON_CLOSE
            )
            sock.shutdown(socket.SHUT_RD)
            time.sleep(pause_s)
        sock.close()

    monkeypatch.setattr(_fault_proxy, "_reset", reset_slowly)
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(ResetConnections())
        with pytest.raises(ConnectionResetError):
            sock.recv(1)


def test_faults_of_one_source_do_not_affect_the_others(echo_address):
    names = {}
    with FaultProxy(echo_address, 7, lambda port: names.get(port, "")) as proxy:
        host, port = proxy.address.split(":")
        faulted = socket.socket()
        faulted.bind(("127.0.0.1", 0))
        names[faulted.getsockname()[1]] = "faulted"
        faulted.connect((host, int(port)))
        proxy.set_faults(BlackHole(), source="faulted")
        faulted.sendall(b"x")
        with faulted, connect(proxy) as unaffected:
            assert exchange(unaffected) == b"hello"
            assert receives_nothing(faulted)


def test_source_is_found_by_the_port_of_its_process(echo_address):
    owners = PortOwners()
    with (
        ProcessGroup() as group,
        FaultProxy(echo_address, 7, owners.owner_of) as proxy,
    ):
        port = int(proxy.address.rpartition(":")[2])
        code = CLIENT_CODE.format(port=port)
        start_file = group.directory / "go"
        command = [sys.executable, "-c", code, str(start_file)]
        process = group.start("connected", command)
        owners.add(process.pid, "pretoria")
        proxy.set_faults(BlackHole(), source="pretoria")
        with connect(proxy) as unaffected:
            assert exchange(unaffected) == b"hello"
        start_file.touch()
        assert process.wait(TIMEOUT_S) == 3


#: Client that connects once its start file exists, and exits with 3 if it receives
#: neither a byte nor a close within a second.
CLIENT_CODE = """
import os, socket, sys, time
while not os.path.exists(sys.argv[1]):
    time.sleep(0.01)
sock = socket.create_connection(("127.0.0.1", {port}))
sock.settimeout(1.0)
sock.sendall(b"x")
try:
    sock.recv(1)
except TimeoutError:
    sys.exit(3)
"""

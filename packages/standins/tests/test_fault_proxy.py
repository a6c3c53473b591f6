"""Each fault of the proxy does what its name says, and healing ends it."""

import socket
import sys
import threading
import time

import pytest

from knapweedspring_standins._fault_proxy import FaultProxy
from knapweedspring_standins._faults import (
    BlackHole,
    CutAfter,
    CutOff,
    Delay,
    Direction,
    HalfOpen,
    RateLimit,
    Reorder,
)
from knapweedspring_standins._port_owners import PortOwners
from knapweedspring_standins._processes import ProcessGroup, poll_until

BOUND_S = 20.0


@pytest.fixture
def echo_address():
    """A server that sends back what it gets."""
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
    sock.settimeout(BOUND_S)
    return sock


def receive(sock, n_bytes):
    data = b""
    while len(data) < n_bytes and (part := sock.recv(n_bytes - len(data))):
        data += part
    return data


def exchange(sock, data=b"hello"):
    sock.sendall(data)
    return receive(sock, len(data))


def silent(sock, seconds=0.3):
    sock.settimeout(seconds)
    try:
        return sock.recv(1) == b"never"
    except TimeoutError:
        return True
    finally:
        sock.settimeout(BOUND_S)


def test_without_faults_bytes_pass_whole(proxy):
    with connect(proxy) as sock:
        data = bytes(range(256)) * 4_000
        threading.Thread(target=sock.sendall, args=(data,)).start()
        assert receive(sock, len(data)) == data


def test_delay_makes_late(proxy):
    with connect(proxy) as sock:
        proxy.set_faults(Delay(0.1, 0.05))
        begun = time.monotonic()
        assert exchange(sock) == b"hello"
        assert time.monotonic() - begun >= 0.2


@pytest.mark.parametrize("direction", list(Direction))
def test_black_hole_holds_one_direction_until_healed(proxy, direction):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(BlackHole(frozenset({direction})))
        sock.sendall(b"again")
        assert silent(sock)
        proxy.set_faults()
        assert receive(sock, 5) == b"again"


def test_cut_after_breaks_mid_answer(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(CutAfter(7))
        sock.sendall(b"0123456789")
        got = b""
        with pytest.raises(ConnectionResetError):
            while True:
                part = sock.recv(100)
                got += part
                if not part:
                    raise AssertionError("closed in order instead of reset")
        assert got in (b"0123456", b"")


def test_cut_after_in_order_ends_with_a_close(proxy):
    with connect(proxy) as sock:
        proxy.set_faults(CutAfter(7, in_order=True))
        sock.sendall(b"0123456789")
        assert receive(sock, 10) == b"0123456"


def test_half_open_hides_the_end(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(HalfOpen())
        sock.shutdown(socket.SHUT_WR)
        assert silent(sock)


def test_end_is_passed_on_without_faults(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(1) == b""
    assert poll_until(lambda: proxy.n_open == 0, BOUND_S)


def test_rate_limit_bounds_the_stream(proxy):
    to_caller = frozenset({Direction.TO_CALLER})
    with connect(proxy) as sock:
        proxy.set_faults(RateLimit(50_000, to_caller))
        begun = time.monotonic()
        data = b"x" * 25_000
        assert exchange(sock, data) == data
        assert time.monotonic() - begun >= 0.4


def test_reorder_lets_others_pass(proxy):
    proxy.set_faults(Reorder(0.5, 0.5, frozenset({Direction.TO_TARGET})))
    arrived = []

    def one(number):
        with connect(proxy) as sock:
            exchange(sock, b"%02d" % number)
            arrived.append(number)

    threads = []
    for number in range(8):
        threads.append(threading.Thread(target=one, args=(number,)))
        threads[-1].start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(BOUND_S)
    assert sorted(arrived) == list(range(8))
    assert arrived != list(range(8))


def test_cut_off_resets_open_and_new_connections(proxy):
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"
        proxy.set_faults(CutOff())
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    with connect(proxy) as sock, pytest.raises(ConnectionError):
        sock.sendall(b"x")
        if sock.recv(1) == b"":
            raise ConnectionError("closed")
    proxy.set_faults()
    with connect(proxy) as sock:
        assert exchange(sock) == b"hello"


def test_faults_of_one_source_spare_the_others(echo_address):
    names = {}
    with FaultProxy(echo_address, 7, lambda port: names.get(port, "")) as proxy:
        host, port = proxy.address.split(":")
        harmed = socket.socket()
        harmed.bind(("127.0.0.1", 0))
        names[harmed.getsockname()[1]] = "harmed"
        harmed.connect((host, int(port)))
        proxy.set_faults(BlackHole(), source="harmed")
        harmed.sendall(b"x")
        with harmed, connect(proxy) as spared:
            assert exchange(spared) == b"hello"
            assert silent(harmed)


def test_source_is_found_by_the_port_of_its_process(echo_address):
    owners = PortOwners()
    with (
        ProcessGroup() as group,
        FaultProxy(echo_address, 7, owners.owner_of) as proxy,
    ):
        port = int(proxy.address.rpartition(":")[2])
        code = CONNECTED.format(port=port)
        go = group.directory / "go"
        command = [sys.executable, "-c", code, str(go)]
        process = group.start("connected", command)
        owners.add(process.pid, "pretoria")
        proxy.set_faults(BlackHole(), source="pretoria")
        with connect(proxy) as spared:
            assert exchange(spared) == b"hello"
        go.touch()
        assert process.wait(BOUND_S) == 3


CONNECTED = """
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

"""TCP proxy that puts typed faults between two processes.

One pair of threads serves each connection, one thread a direction. Faults are
changed at run time from any thread, for all connections or for those of one
source.
"""

import contextlib
import random
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

from knapweedspring_standins._faults import Direction, Fault
from knapweedspring_standins._sockets import is_disconnected

__all__ = ["FaultProxy"]

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 512
HOLD_POLL_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultProxy:
    """Forwards connections to one target and harms them as told.

    :param target: ``ip:port`` to forward to; empty until :meth:`set_target`.
    :param seed: makes delays and choices repeatable.
    :param identify: names the source of a connection by the port that it
        came from; faults can then be set for that name alone.

    >>> proxy = FaultProxy("127.0.0.1:8000", seed=1)
    >>> proxy.set_faults(Delay(0.05))
    """

    def __init__(
        self,
        target: str,
        seed: int,
        identify: Callable[[int], str] = lambda port: "",
    ) -> None:
        self._target = ("", 0)
        if target:
            self.set_target(target)
        self._identify = identify
        self._random = random.Random(seed)
        self._faults: dict[str, tuple[Fault, ...]] = {}
        self._changed = threading.Condition()
        self._generation = 0
        self._links: set[_Link] = set()
        self._stopping = False
        self._n_connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self._address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._accept_all, daemon=True)

    def __enter__(self) -> "FaultProxy":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def address(self) -> str:
        """``ip:port`` that callers connect to."""
        return self._address

    @property
    def changed(self) -> threading.Condition:
        """Notified when faults change."""
        return self._changed

    @property
    def generation(self) -> int:
        """Grows with each change of the faults."""
        return self._generation

    @property
    def n_connections(self) -> int:
        """Connections accepted so far."""
        return self._n_connections

    @property
    def n_open(self) -> int:
        """Connections open now."""
        return len(self._links)

    @property
    def stopping(self) -> bool:
        """Whether the proxy is going down."""
        return self._stopping

    def start(self) -> None:
        """Accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Reset all connections and accept no more."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        # Closing alone does not wake a thread that waits in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for link in tuple(self._links):
            link.reset()
        self._thread.join()

    def set_target(self, target: str) -> None:
        """Forward new connections to another ``ip:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))

    def set_faults(self, *faults: Fault, source: str = "") -> None:
        """Replace the faults of one source, or of all that have none.

        :param faults: faults from now on; none heals.
        :param source: a name that ``identify`` gives; empty for all others.
        """
        with self._changed:
            if source and not faults:
                self._faults.pop(source, None)
            else:
                self._faults[source] = faults
            self._generation += 1
            self._changed.notify_all()
        for link in tuple(self._links):
            if link.refused():
                link.reset()

    @property
    def tells_sources_apart(self) -> bool:
        """Whether some source has faults of its own."""
        return any(self._faults)

    def faults_of(self, source: str) -> tuple[Fault, ...]:
        """Faults in force for a source."""
        return self._faults.get(source, self._faults.get("", ()))

    def draw_delay_s(self, faults: tuple[Fault, ...], direction: Direction) -> float:
        """Sum of the delays that the faults draw."""
        with self._changed:
            return sum(fault.delay_s(direction, self._random) for fault in faults)

    def forget(self, link: "_Link") -> None:
        """Drop a connection that ended."""
        self._links.discard(link)

    def _accept_all(self) -> None:
        while not self._stopping:
            try:
                caller, (_, port) = self._listener.accept()
            except OSError:
                return
            self._n_connections += 1
            link = _Link(self, caller, port)
            self._links.add(link)
            threading.Thread(target=link.run, daemon=True).start()

    @property
    def target(self) -> tuple[str, int]:
        """Where connections are forwarded to."""
        return self._target

    def identify(self, port: int) -> str:
        """Name the source of a connection."""
        return self._identify(port)


class _Link:
    """One connection through the proxy."""

    def __init__(self, proxy: FaultProxy, caller: socket.socket, port: int) -> None:
        self._proxy = proxy
        self._caller = caller
        self._port = port
        self._source: str | None = None
        self._target: socket.socket | None = None
        self._n_ended = 0
        self._lock = threading.Lock()

    def refused(self) -> bool:
        """Whether a fault resets this connection."""
        return any(fault.refuses() for fault in self._faults())

    def reset(self) -> None:
        """Reset both sides."""
        for sock in (self._caller, self._target):
            if sock is not None:
                _reset(sock)
        self._proxy.forget(self)

    def run(self) -> None:
        """Connect, then forward both directions until they end."""
        try:
            target = self._connect()
            self._target = target
            for sock in (self._caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            back = threading.Thread(
                target=self._pump, args=(target, self._caller, Direction.TO_CALLER)
            )
            back.daemon = True
            back.start()
        except OSError:
            self.reset()
            return
        self._pump(self._caller, target, Direction.TO_TARGET)

    def _connect(self) -> socket.socket:
        if self.refused():
            raise ConnectionResetError("refused by a fault")
        # A lost direction also loses the packets that open a connection.
        self._wait_passable(self._caller, Direction.TO_TARGET)
        target = socket.create_connection(self._proxy.target, CONNECT_TIMEOUT_S)
        target.settimeout(None)
        return target

    def _faults(self) -> tuple[Fault, ...]:
        if not self._proxy.tells_sources_apart:
            return self._proxy.faults_of("")
        # Looking the source up is slow, so it waits until it matters.
        if self._source is None:
            self._source = self._proxy.identify(self._port)
        return self._proxy.faults_of(self._source)

    def _pump(
        self, source: socket.socket, sink: socket.socket, direction: Direction
    ) -> None:
        try:
            self._forward(source, sink, direction)
        except OSError:
            if not self._hides_close(direction):
                self.reset()
        with self._lock:
            self._n_ended += 1
            both_ended = self._n_ended == 2
        if both_ended:
            self.reset()

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: Direction
    ) -> None:
        passed = _Passed()
        for chunk in _chunks(source):
            self._wait_passable(source, direction)
            faults = self._faults()
            delay_s = self._proxy.draw_delay_s(faults, direction)
            if delay_s > 0:
                time.sleep(delay_s)
            rest = passed.rest(self._proxy.generation, self._limit(direction))
            if rest is not None and len(chunk) >= rest:
                sink.sendall(chunk[:rest])
                self._cut()
                return
            self._send(sink, chunk, direction)
            passed.add(len(chunk))
        self._wait_passable(source, direction)
        if not self._hides_close(direction):
            sink.shutdown(socket.SHUT_WR)

    def _cut(self) -> None:
        if not any(fault.cuts_in_order() for fault in self._faults()):
            self.reset()
            return
        for sock in (self._caller, self._target):
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)

    def _send(self, sink: socket.socket, chunk: bytes, direction: Direction) -> None:
        rates = [fault.bytes_per_s(direction) for fault in self._faults()]
        limits = [rate for rate in rates if rate is not None]
        if not limits:
            sink.sendall(chunk)
            return
        # Ten portions a second keep a limited stream flowing evenly.
        portion = max(1, int(min(limits) / 10))
        for start in range(0, len(chunk), portion):
            part = chunk[start : start + portion]
            sink.sendall(part)
            time.sleep(len(part) / min(limits))

    def _wait_passable(self, source: socket.socket, direction: Direction) -> None:
        held = False
        while self._holds(direction):
            held = True
            with self._proxy.changed:
                self._proxy.changed.wait(HOLD_POLL_S)
            if self._proxy.stopping:
                raise ConnectionResetError("the proxy stops")
            if self._target is None and is_disconnected(source):
                raise ConnectionResetError("the caller gave up connecting")
        if held and is_disconnected(source):
            # What a peer sent before it closed its side is lost with it.
            raise ConnectionResetError("the sender left meanwhile")

    def _holds(self, direction: Direction) -> bool:
        return any(fault.holds(direction) for fault in self._faults())

    def _limit(self, direction: Direction) -> int | None:
        limits = [fault.limit_bytes(direction) for fault in self._faults()]
        return min((limit for limit in limits if limit is not None), default=None)

    def _hides_close(self, direction: Direction) -> bool:
        return any(fault.hides_close(direction) for fault in self._faults())


class _Passed:
    """Counts the bytes of a direction since the faults changed."""

    def __init__(self) -> None:
        self._generation = -1
        self._n_bytes = 0

    def rest(self, generation: int, limit: int | None) -> int | None:
        """Bytes that may still pass; None without a limit."""
        if generation != self._generation:
            self._generation = generation
            self._n_bytes = 0
        return None if limit is None else max(0, limit - self._n_bytes)

    def add(self, n_bytes: int) -> None:
        """Count bytes that passed."""
        self._n_bytes += n_bytes


def _chunks(sock: socket.socket) -> Iterator[bytes]:
    while chunk := sock.recv(CHUNK_BYTES):
        yield chunk


def _reset(sock: socket.socket) -> None:
    """Close with a reset, and wake threads that wait on the socket."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        sock.close()

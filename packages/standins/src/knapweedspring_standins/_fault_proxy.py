"""TCP proxy that injects typed faults between two processes.

Two threads serve each connection, one for each direction. Any thread may change
the faults at run time, for all connections or for those of one source.
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
#: Value of SO_LINGER with a timeout of 0 s, for which a close sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultProxy:
    """Forwards connections to one target and applies faults to them.

    :param target: ``ip:port`` to forward to; empty until :meth:`set_target`.
    :param seed: seed of the random delays.
    :param identify: maps the local port of a connecting process to a source
        name, for which faults can be set separately.

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
        self._connections: set[_ProxiedConnection] = set()
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
        """``ip:port`` that the proxy listens on."""
        return self._address

    @property
    def changed(self) -> threading.Condition:
        """Condition that is notified when the faults change."""
        return self._changed

    @property
    def generation(self) -> int:
        """Number of changes of the faults so far."""
        return self._generation

    @property
    def n_connections(self) -> int:
        """Number of connections accepted so far."""
        return self._n_connections

    @property
    def n_open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def stopping(self) -> bool:
        """Whether the proxy is stopping."""
        return self._stopping

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        # A close alone does not wake a thread that is blocked in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in tuple(self._connections):
            connection.reset()
        self._thread.join()

    def set_target(self, target: str) -> None:
        """Forward new connections to another ``ip:port``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))

    def set_faults(self, *faults: Fault, source: str = "") -> None:
        """Replace the faults of one source, or of all sources without their own.

        :param faults: faults in force from now on; without any, traffic passes
            unchanged.
        :param source: source name from ``identify``; empty for all sources
            without faults of their own.
        """
        with self._changed:
            if source and not faults:
                self._faults.pop(source, None)
            else:
                self._faults[source] = faults
            self._generation += 1
            self._changed.notify_all()
        for connection in tuple(self._connections):
            if connection.is_reset_by_fault():
                connection.reset()

    @property
    def has_source_faults(self) -> bool:
        """Whether any source has faults of its own."""
        return any(self._faults)

    def faults_of(self, source: str) -> tuple[Fault, ...]:
        """Faults in force for a source."""
        return self._faults.get(source, self._faults.get("", ()))

    def draw_delay_s(self, faults: tuple[Fault, ...], direction: Direction) -> float:
        """Return a random delay in seconds for the next bytes, summed over faults."""
        with self._changed:
            return sum(fault.delay_s(direction, self._random) for fault in faults)

    def remove_connection(self, connection: "_ProxiedConnection") -> None:
        """Remove a connection that ended from the open connections."""
        self._connections.discard(connection)

    def _accept_all(self) -> None:
        while not self._stopping:
            try:
                caller, (_, port) = self._listener.accept()
            except OSError:
                return
            self._n_connections += 1
            connection = _ProxiedConnection(self, caller, port)
            self._connections.add(connection)
            threading.Thread(target=connection.run, daemon=True).start()

    @property
    def target(self) -> tuple[str, int]:
        """Host and port that connections are forwarded to."""
        return self._target

    def identify(self, port: int) -> str:
        """Return the source name for the local port of a connection's caller."""
        return self._identify(port)


class _ProxiedConnection:
    """One connection from a caller through the proxy to the target."""

    def __init__(self, proxy: FaultProxy, caller: socket.socket, port: int) -> None:
        self._proxy = proxy
        self._caller = caller
        self._port = port
        self._source: str | None = None
        self._target: socket.socket | None = None
        self._n_ended_directions = 0
        self._is_reset = False
        self._lock = threading.Lock()

    def is_reset_by_fault(self) -> bool:
        """Whether a fault in force resets this connection."""
        return any(fault.resets_connections() for fault in self._faults())

    def reset(self) -> None:
        """Reset both sides and remove the connection from the proxy."""
        # Set first: a thread that forwards bytes must not pass on the end that it reads
        # while the sockets are being closed.
        self._is_reset = True
        for sock in (self._caller, self._target):
            if sock is not None:
                _reset(sock)
        self._proxy.remove_connection(self)

    def run(self) -> None:
        """Connect to the target, then forward both directions until both end."""
        try:
            target = self._connect()
            self._target = target
            for sock in (self._caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            to_caller = threading.Thread(
                target=self._pump, args=(target, self._caller, Direction.TO_CALLER)
            )
            to_caller.daemon = True
            to_caller.start()
        except OSError:
            self.reset()
            return
        self._pump(self._caller, target, Direction.TO_TARGET)

    def _connect(self) -> socket.socket:
        if self.is_reset_by_fault():
            raise ConnectionResetError("a fault resets the connection")
        # While bytes to the target are held, the connection to the target is not
        # opened either.
        self._wait_while_held(self._caller, Direction.TO_TARGET)
        target = socket.create_connection(self._proxy.target, CONNECT_TIMEOUT_S)
        target.settimeout(None)
        return target

    def _faults(self) -> tuple[Fault, ...]:
        if not self._proxy.has_source_faults:
            return self._proxy.faults_of("")
        # The lookup of the source is slow, so it runs only when at least one source has
        # faults of its own.
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
            self._n_ended_directions += 1
            both_ended = self._n_ended_directions == 2
        if both_ended:
            self.reset()

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: Direction
    ) -> None:
        forwarded = _ForwardedBytes()
        for chunk in _chunks(source):
            self._wait_while_held(source, direction)
            faults = self._faults()
            delay_s = self._proxy.draw_delay_s(faults, direction)
            if delay_s > 0:
                time.sleep(delay_s)
            n_allowed = forwarded.n_remaining(
                self._proxy.generation, self._limit(direction)
            )
            if n_allowed is not None and len(chunk) >= n_allowed:
                sink.sendall(chunk[:n_allowed])
                self._end_at_limit()
                return
            self._send(sink, chunk, direction)
            forwarded.add(len(chunk))
        self._wait_while_held(source, direction)
        if not self._is_reset and not self._hides_close(direction):
            sink.shutdown(socket.SHUT_WR)

    def _end_at_limit(self) -> None:
        if not any(fault.closes_at_limit() for fault in self._faults()):
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
        # Ten portions per second keep a rate-limited stream steady.
        portion = max(1, int(min(limits) / 10))
        for start in range(0, len(chunk), portion):
            part = chunk[start : start + portion]
            sink.sendall(part)
            time.sleep(len(part) / min(limits))

    def _wait_while_held(self, source: socket.socket, direction: Direction) -> None:
        was_held = False
        while self._is_held(direction):
            was_held = True
            with self._proxy.changed:
                self._proxy.changed.wait(HOLD_POLL_S)
            if self._proxy.stopping:
                raise ConnectionResetError("the proxy is stopping")
            if self._target is None and is_disconnected(source):
                raise ConnectionResetError(
                    "the caller disconnected before the proxy connected"
                )
        if was_held and is_disconnected(source):
            # Bytes that were held when the sender disconnected are not delivered.
            raise ConnectionResetError(
                "the sender disconnected while its bytes were held"
            )

    def _is_held(self, direction: Direction) -> bool:
        return any(fault.holds_bytes(direction) for fault in self._faults())

    def _limit(self, direction: Direction) -> int | None:
        limits = [fault.limit_bytes(direction) for fault in self._faults()]
        return min((limit for limit in limits if limit is not None), default=None)

    def _hides_close(self, direction: Direction) -> bool:
        return any(fault.hides_close(direction) for fault in self._faults())


class _ForwardedBytes:
    """Counts the bytes forwarded in one direction since the faults last changed."""

    def __init__(self) -> None:
        self._generation = -1
        self._n_bytes = 0

    def n_remaining(self, generation: int, limit: int | None) -> int | None:
        """Return how many bytes may still be forwarded; None without a limit.

        :param generation: number of changes of the faults; a change restarts the count.
        :param limit: bytes that may be forwarded after a change; None for no limit.
        """
        if generation != self._generation:
            self._generation = generation
            self._n_bytes = 0
        return None if limit is None else max(0, limit - self._n_bytes)

    def add(self, n_bytes: int) -> None:
        """Count forwarded bytes."""
        self._n_bytes += n_bytes


def _chunks(sock: socket.socket) -> Iterator[bytes]:
    while chunk := sock.recv(CHUNK_BYTES):
        yield chunk


def _reset(sock: socket.socket) -> None:
    """Close a socket with a reset and wake the threads that wait on it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        sock.close()

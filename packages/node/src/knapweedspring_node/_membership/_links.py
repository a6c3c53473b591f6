"""Links to peers: one thread and one DEALER socket for each peer in use."""

import queue
import threading
import time
from abc import ABC
from collections.abc import Callable
from dataclasses import dataclass, field

import zmq
from result import Err, Ok, Result

from knapweedspring_core import Counters
from knapweedspring_node._membership._curve import FirmKeys
from knapweedspring_node._membership._errors import (
    MembershipError,
    MessageInvalid,
    PeerBusy,
    PeerUnreachable,
)
from knapweedspring_node._membership._messages import Kind

__all__ = ["Exchange", "LinkPool", "Reply", "TrafficFilter"]

#: Seconds after which an unused link is closed.
IDLE_S = 15.0
#: Seconds between two looks whether the link is to end.
STOP_CHECK_S = 0.25
#: Exchanges that may wait for one peer.
QUEUE_CAPACITY = 64
_MS_PER_S = 1_000


class TrafficFilter(ABC):  # noqa: B024
    """Decides which peers this node may send to; failure tests override it."""

    def may_send(self, address: str) -> bool:
        """Tell whether a message to the control address is sent."""
        return True


@dataclass(frozen=True, slots=True)
class Reply:
    """A peer's reply."""

    #: What it is.
    kind: Kind
    #: Packed payload.
    payload: bytes


Outcome = Result[Reply, MembershipError]


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and where its reply goes."""

    #: What is sent.
    kind: Kind
    #: Packed payload.
    payload: bytes
    #: Seconds to wait for the reply.
    timeout_s: float
    #: Told the outcome, in the link's thread; must return quickly.
    on_done: Callable[[Outcome], None] = field(default=lambda _: None)


class LinkPool:
    """Opens links on demand and closes idle ones.

    :param context: context of the node's control sockets.
    :param keys: the firm's keys.
    :param firm: name of the firm, sent with each request.
    :param counters: get the bytes by kind.
    :param traffic_filter: hook of failure tests.
    """

    def __init__(
        self,
        context: zmq.Context,
        keys: FirmKeys,
        firm: str,
        counters: Counters,
        traffic_filter: TrafficFilter,
    ) -> None:
        self._context = context
        self._keys = keys
        self._firm = firm.encode()
        self._counters = counters
        self._filter = traffic_filter
        self._own_address = b""
        self._lock = threading.Lock()
        self._links: dict[str, _Link] = {}
        self._closed = False

    @property
    def n_links(self) -> int:
        """Number of open links."""
        return len(self._links)

    def open(self, own_address: str) -> None:
        """Set the control address that requests carry."""
        self._own_address = own_address.encode()

    def submit(self, address: str, exchange: Exchange) -> None:
        """Queue an exchange with the peer at ``address``; returns at once."""
        with self._lock:
            accepted = not self._closed and self._link(address).offer(exchange)
        if not accepted:
            exchange.on_done(Err(PeerBusy(address)))

    def close(self) -> None:
        """Close all links; exchanges that wait are answered with an error."""
        with self._lock:
            self._closed = True
            links = tuple(self._links.values())
        for link in links:
            link.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for the links' threads; False when one goes on."""
        links = tuple(self._links.values())
        for link in links:
            link.join(timeout_s)
        return not self._links

    def forget(self, link: "_Link") -> bool:
        """Remove a link that has no work; False when work came meanwhile."""
        with self._lock:
            if link.has_work:
                return False
            self._links.pop(link.address, None)
            return True

    def connect(self, address: str) -> zmq.Socket:
        """Open a DEALER socket to the peer."""
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        # Requests to a peer that is away fail instead of piling up.
        socket.immediate = 1
        self._keys.secure_client(socket)
        socket.connect(f"tcp://{address}")
        return socket

    def send(self, socket: zmq.Socket, address: str, exchange: Exchange) -> None:
        """Send a request, or drop it where the filter says so."""
        if not self._filter.may_send(address):
            return
        frames = (
            bytes((exchange.kind,)),
            self._firm,
            self._own_address,
            exchange.payload,
        )
        socket.send_multipart(frames)
        size = sum(len(frame) for frame in frames)
        self._counters.add("control_bytes_sent", exchange.kind.name, size)
        self._counters.add("control_requests_sent", exchange.kind.name)

    def _link(self, address: str) -> "_Link":
        link = self._links.get(address)
        if link is None:
            link = _Link(self, address)
            self._links[address] = link
            self._counters.add("control_links_opened")
            link.start()
        return link


class _Link:
    """The conversation with one peer: a request, its reply, the next."""

    def __init__(self, pool: LinkPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._queue: queue.Queue[Exchange | None] = queue.Queue()
        self._stopping = False
        name = f"link-{address}"
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    @property
    def address(self) -> str:
        """Control address of the peer."""
        return self._address

    @property
    def has_work(self) -> bool:
        """Whether exchanges wait."""
        return not self._queue.empty() and not self._stopping

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End after the exchange that runs."""
        self._stopping = True
        self._queue.put(None)

    def join(self, timeout_s: float) -> None:
        """Wait for the thread."""
        self._thread.join(timeout_s)

    def offer(self, exchange: Exchange) -> bool:
        """Take an exchange in; False when too many wait."""
        if self._queue.qsize() >= QUEUE_CAPACITY:
            return False
        self._queue.put(exchange)
        return True

    def _run(self) -> None:
        socket: zmq.Socket | None = None
        while not self._stopping:
            exchange = self._next()
            if exchange is None:
                if self._stopping or self._pool.forget(self):
                    break
                continue
            if socket is None:
                socket = self._pool.connect(self._address)
            outcome = self._perform(socket, exchange)
            if isinstance(outcome, Err):
                # A new connection drops the late reply, and finds a peer
                # that came back sooner than TCP's retransmission does.
                socket.close()
                socket = None
            exchange.on_done(outcome)
        if socket is not None:
            socket.close()
        self._refuse_rest()

    def _next(self) -> Exchange | None:
        try:
            return self._queue.get(timeout=IDLE_S)
        except queue.Empty:
            return None

    def _perform(self, socket: zmq.Socket, exchange: Exchange) -> Outcome:
        if not self._wait(socket, zmq.POLLOUT, exchange.timeout_s):
            return Err(PeerUnreachable(f"no connection to {self._address}"))
        self._pool.send(socket, self._address, exchange)
        if not self._wait(socket, zmq.POLLIN, exchange.timeout_s):
            return Err(PeerUnreachable(f"no reply from {self._address}"))
        frames = socket.recv_multipart()
        if len(frames) != 2 or len(frames[0]) != 1:
            return Err(MessageInvalid(f"frames of {self._address}"))
        if frames[0][0] == Kind.REFUSED:
            return Err(MessageInvalid(f"{self._address}: {frames[1].decode()}"))
        try:
            return Ok(Reply(Kind(frames[0][0]), frames[1]))
        except ValueError:
            return Err(MessageInvalid(f"kind from {self._address}"))

    def _wait(self, socket: zmq.Socket, event: int, timeout_s: float) -> bool:
        """Wait for the socket in steps, so that a stop is noticed soon."""
        give_up_at = time.monotonic() + timeout_s
        while not self._stopping:
            left_s = give_up_at - time.monotonic()
            step_ms = int(min(max(left_s, 0.0), STOP_CHECK_S) * _MS_PER_S)
            if socket.poll(step_ms, event):
                return True
            if left_s <= 0.0:
                return False
        return False

    def _refuse_rest(self) -> None:
        self._pool.forget(self)
        while not self._queue.empty():
            exchange = self._queue.get()
            if exchange is not None:
                exchange.on_done(Err(PeerBusy("the node is stopping")))

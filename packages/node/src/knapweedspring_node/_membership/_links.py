"""Links to peers: a thread and a DEALER socket for each peer in use."""

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
LINK_IDLE_TIMEOUT_S = 15.0
#: Longest wait on a socket between two checks for a stop, in seconds.
STOP_CHECK_PERIOD_S = 0.25
#: Largest number of exchanges queued for one peer; further ones fail with
#: :class:`PeerBusy`.
QUEUE_CAPACITY = 64
_MS_PER_S = 1_000


class TrafficFilter(ABC):  # noqa: B024
    """Decides which peers this node may send to; failure tests override it to drop
    messages.
    """

    def may_send(self, address: str) -> bool:
        """Return whether messages to the control address are sent."""
        return True


@dataclass(frozen=True, slots=True)
class Reply:
    """A peer's reply to a request."""

    #: Message kind.
    kind: Kind
    #: Packed payload.
    payload: bytes


#: Result of an exchange: the reply, or why there is none.
ExchangeResult = Result[Reply, MembershipError]


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and the callback for its result."""

    #: Message kind of the request.
    kind: Kind
    #: Packed payload.
    payload: bytes
    #: Seconds to wait for a connection, and as many again for the reply.
    timeout_s: float
    #: Called with the result in the link's thread, or by :meth:`LinkPool.submit` when
    #: the exchange is not queued; must return quickly.
    on_done: Callable[[ExchangeResult], None] = field(default=lambda _: None)


class LinkPool:
    """Opens links on demand and closes idle ones.

    :param context: context of the node's control sockets.
    :param keys: secures the sockets.
    :param firm: name of the firm, sent with each request.
    :param counters: count requests and bytes by message kind, and opened links.
    :param traffic_filter: hook with which failure tests drop messages.
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

    def set_own_address(self, own_address: str) -> None:
        """Set this node's control address, which requests carry."""
        self._own_address = own_address.encode()

    def submit(self, address: str, exchange: Exchange) -> None:
        """Queue an exchange with a peer and return at once.

        When the peer's queue is full or the pool is closed, this method itself calls
        ``on_done`` with :class:`PeerBusy`.

        :param address: control address of the peer.
        :param exchange: the request and its callback.
        """
        with self._lock:
            queued = not self._closed and self._link(address).enqueue(exchange)
        if not queued:
            exchange.on_done(Err(PeerBusy(address)))

    def close(self) -> None:
        """Close all links; queued exchanges end with :class:`PeerBusy`."""
        with self._lock:
            self._closed = True
            links = tuple(self._links.values())
        for link in links:
            link.stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for the links' threads.

        :param timeout_s: seconds to wait for each thread.
        :return: whether all threads have ended.
        """
        links = tuple(self._links.values())
        for link in links:
            link.join(timeout_s)
        return not self._links

    def remove_if_idle(self, link: "_Link") -> bool:
        """Remove a link without queued exchanges.

        :return: False when an exchange is queued, so the link must stay.
        """
        with self._lock:
            if link.has_work:
                return False
            self._links.pop(link.address, None)
            return True

    def connect(self, address: str) -> zmq.Socket:
        """Open a DEALER socket to the peer at a control address."""
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        # Requests to an unreachable peer fail instead of being queued by ZeroMQ.
        socket.immediate = 1
        self._keys.secure_client(socket)
        socket.connect(f"tcp://{address}")
        return socket

    def send(self, socket: zmq.Socket, address: str, exchange: Exchange) -> None:
        """Send a request, unless the traffic filter drops it."""
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
    """Performs the exchanges with one peer, one after the other."""

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
        """Whether exchanges are queued; False once the link is stopping."""
        return not self._queue.empty() and not self._stopping

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread end; queued exchanges fail."""
        self._stopping = True
        self._queue.put(None)

    def join(self, timeout_s: float) -> None:
        """Wait for the thread.

        :param timeout_s: seconds to wait.
        """
        self._thread.join(timeout_s)

    def enqueue(self, exchange: Exchange) -> bool:
        """Queue an exchange.

        :return: False when the queue is full.
        """
        if self._queue.qsize() >= QUEUE_CAPACITY:
            return False
        self._queue.put(exchange)
        return True

    def _run(self) -> None:
        socket: zmq.Socket | None = None
        while not self._stopping:
            exchange = self._next_exchange()
            if exchange is None:
                if self._stopping or self._pool.remove_if_idle(self):
                    break
                continue
            if socket is None:
                socket = self._pool.connect(self._address)
            result = self._perform(socket, exchange)
            if isinstance(result, Err):
                # Closing the socket discards a late reply, and a new connection
                # reaches a restarted peer sooner than a TCP retransmission.
                socket.close()
                socket = None
            exchange.on_done(result)
        if socket is not None:
            socket.close()
        self._fail_queued_exchanges()

    def _next_exchange(self) -> Exchange | None:
        try:
            return self._queue.get(timeout=LINK_IDLE_TIMEOUT_S)
        except queue.Empty:
            return None

    def _perform(self, socket: zmq.Socket, exchange: Exchange) -> ExchangeResult:
        if not self._wait_for_event(socket, zmq.POLLOUT, exchange.timeout_s):
            return Err(PeerUnreachable(f"no connection to {self._address}"))
        self._pool.send(socket, self._address, exchange)
        if not self._wait_for_event(socket, zmq.POLLIN, exchange.timeout_s):
            return Err(PeerUnreachable(f"no reply from {self._address}"))
        frames = socket.recv_multipart()
        if len(frames) != 2 or len(frames[0]) != 1:
            return Err(MessageInvalid(f"malformed frames from {self._address}"))
        if frames[0][0] == Kind.REFUSED:
            return Err(MessageInvalid(f"{self._address}: {frames[1].decode()}"))
        try:
            return Ok(Reply(Kind(frames[0][0]), frames[1]))
        except ValueError:
            return Err(MessageInvalid(f"unknown message kind from {self._address}"))

    def _wait_for_event(self, socket: zmq.Socket, event: int, timeout_s: float) -> bool:
        """Wait for a socket event in short steps, so that :meth:`stop` takes effect."""
        deadline_at = time.monotonic() + timeout_s
        while not self._stopping:
            remaining_s = deadline_at - time.monotonic()
            step_ms = int(min(max(remaining_s, 0.0), STOP_CHECK_PERIOD_S) * _MS_PER_S)
            if socket.poll(step_ms, event):
                return True
            if remaining_s <= 0.0:
                return False
        return False

    def _fail_queued_exchanges(self) -> None:
        self._pool.remove_if_idle(self)
        while not self._queue.empty():
            exchange = self._queue.get()
            if exchange is not None:
                exchange.on_done(Err(PeerBusy("the node is stopping")))

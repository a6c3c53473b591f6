"""Server for control messages: the ROUTER socket on the control address."""

import threading
from collections.abc import Callable

import zmq
from result import Err, Ok, Result

from knapweedspring_core import Counters
from knapweedspring_node._membership._curve import FirmKeys
from knapweedspring_node._membership._errors import AddressUnusable, MembershipError
from knapweedspring_node._membership._links import Reply, TrafficFilter
from knapweedspring_node._membership._messages import (
    PAYLOAD_MAX_BYTES,
    Kind,
    Request,
)

__all__ = ["ControlServer"]

_OUTBOX_ENDPOINT = "inproc://outbox"
_STOP = b"stop"

#: Handles one request. Returns the reply, or None when the reply is sent later with
#: :meth:`ControlServer.reply`.
Handler = Callable[[Request], Reply | None]


class _Sockets:
    """The sockets of the server.

    Only the server's thread may use the ROUTER socket, so replies from other
    threads, and the request to stop, go through a pair of in-process sockets.
    """

    def __init__(self, context: zmq.Context) -> None:
        self.router = context.socket(zmq.ROUTER)
        self.router.linger = 0
        self.router.maxmsgsize = PAYLOAD_MAX_BYTES
        self.outbox_reader = context.socket(zmq.PULL)
        self.outbox_reader.bind(_OUTBOX_ENDPOINT)
        self.outbox_writer = context.socket(zmq.PUSH)
        self.outbox_writer.connect(_OUTBOX_ENDPOINT)

    def close(self) -> None:
        """Close all sockets and drop unsent messages."""
        for socket in (self.router, self.outbox_reader, self.outbox_writer):
            socket.close(0)


class ControlServer:
    """Receives requests and sends the replies.

    :param context: context of the node's control sockets.
    :param keys: secures the ROUTER socket.
    :param firm: name of the firm; requests of other firms are ignored.
    :param counters: count bytes by message kind, and messages that are malformed or
        of other firms.
    :param traffic_filter: hook with which failure tests drop messages.
    :param handler: called with each request of the firm, in the server's thread, and
        returns the reply; must return quickly, since other requests wait meanwhile.
    """

    def __init__(
        self,
        context: zmq.Context,
        keys: FirmKeys,
        firm: str,
        counters: Counters,
        traffic_filter: TrafficFilter,
        handler: Handler,
    ) -> None:
        self._context = context
        self._keys = keys
        self._firm = firm
        self._counters = counters
        self._filter = traffic_filter
        self._handler = handler
        self._sockets: _Sockets | None = None
        self._outbox_lock = threading.Lock()

    def bind(self, address: str) -> Result[str, MembershipError]:
        """Bind the control address.

        :param address: ``ip:port``; port 0 selects a free port.
        :return: the bound ``ip:port``, or :class:`AddressUnusable`.
        """
        sockets = _Sockets(self._context)
        self._keys.secure_server(sockets.router)
        try:
            sockets.router.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            sockets.close()
            return Err(AddressUnusable(f"{address}: {error}"))
        self._sockets = sockets
        endpoint = sockets.router.getsockopt_string(zmq.LAST_ENDPOINT)
        return Ok(endpoint.removeprefix("tcp://"))

    def run(self) -> None:
        """Serve requests until :meth:`stop`; runs in the server's thread.

        :raises RuntimeError: the control address is not bound.
        """
        sockets = self._bound_sockets()
        poller = zmq.Poller()
        poller.register(sockets.router, zmq.POLLIN)
        poller.register(sockets.outbox_reader, zmq.POLLIN)
        while True:
            ready = dict(poller.poll())
            if sockets.outbox_reader in ready:
                frames = sockets.outbox_reader.recv_multipart()
                if frames == [_STOP]:
                    return
                self._send_frames(frames)
            if sockets.router in ready:
                self._handle_frames(sockets.router.recv_multipart())

    def stop(self) -> None:
        """Make :meth:`run` return.

        :raises RuntimeError: the control address is not bound.
        """
        with self._outbox_lock:
            self._bound_sockets().outbox_writer.send_multipart((_STOP,))

    def close(self) -> None:
        """Close the sockets; call after the server's thread has ended."""
        with self._outbox_lock:
            if self._sockets is not None:
                self._sockets.close()
                self._sockets = None

    def reply(self, request: Request, reply: Reply) -> None:
        """Send the reply to an earlier request; callable from any thread."""
        if not self._filter.may_send(request.sender_address):
            return
        with self._outbox_lock:
            if self._sockets is not None:
                self._sockets.outbox_writer.send_multipart(
                    _reply_frames(request, reply)
                )

    def _bound_sockets(self) -> "_Sockets":
        if self._sockets is None:
            raise RuntimeError("bind the control address before serving it")
        return self._sockets

    def _handle_frames(self, frames: list[bytes]) -> None:
        request = _parse_request(frames)
        if request is None:
            self._counters.add("control_messages_malformed")
            return
        size = sum(len(frame) for frame in frames[1:])
        self._counters.add("control_bytes_received", request.kind.name, size)
        if request.firm != self._firm:
            self._counters.add("control_messages_refused", "firm")
            return
        reply = self._handler(request)
        if reply is not None and self._filter.may_send(request.sender_address):
            self._send_frames(_reply_frames(request, reply))

    def _send_frames(self, frames: list[bytes]) -> None:
        size = sum(len(frame) for frame in frames[1:])
        self._counters.add("control_bytes_sent", Kind(frames[1][0]).name, size)
        self._bound_sockets().router.send_multipart(frames)


def _parse_request(frames: list[bytes]) -> Request | None:
    if len(frames) != 5 or len(frames[1]) != 1:
        return None
    try:
        kind = Kind(frames[1][0])
        firm, sender = frames[2].decode(), frames[3].decode()
    except ValueError:
        return None
    return Request(frames[0], kind, firm, sender, frames[4])


def _reply_frames(request: Request, reply: Reply) -> list[bytes]:
    return [request.route, bytes((reply.kind,)), reply.payload]

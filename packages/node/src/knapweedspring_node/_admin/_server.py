"""Serves the pages on the admin address, as a child of the supervisor."""

import socket
import threading
from dataclasses import dataclass

from cheroot.wsgi import Server
from result import Err, Ok, Result

from knapweedspring_core import Child, MetricsPage
from knapweedspring_node._admin._facts import NodeFacts
from knapweedspring_node._admin._gauges import register_gauges
from knapweedspring_node._admin._pages import make_application

__all__ = ["AdminError", "AdminPages"]

N_THREADS = 4
SHUTDOWN_TIMEOUT_S = 1


@dataclass(frozen=True, slots=True)
class AdminError:
    """The admin address cannot be used."""

    #: What to change in the settings.
    advice: str


class AdminPages(Child):
    """The page server.

    Call :meth:`bind`, then :meth:`start`.

    :param facts: what the pages show.
    :param metrics: the metrics page.
    """

    def __init__(self, facts: NodeFacts, metrics: MetricsPage) -> None:
        register_gauges(metrics, facts)
        self._application = make_application(facts, metrics)
        self._server: Server | None = None
        self._thread = threading.Thread(target=self._serve, name=self.name)
        self._thread.daemon = True

    @property
    def name(self) -> str:
        """Name for events and status pages."""
        return "admin-pages"

    def bind(self, address: str) -> Result[str, AdminError]:
        """Bind the admin address.

        :param address: ``ip:port``; port 0 takes a free one.
        :return: the bound ``ip:port``, or what to change in the settings.
        """
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return Err(AdminError(f"write the admin address as ip:port, not {address}"))
        server = Server(
            (host, int(port)),
            self._application,
            numthreads=N_THREADS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        try:
            server.prepare()
        except OSError as error:
            return Err(AdminError(f"the admin address {address} is not free: {error}"))
        # The library leaves this out for port 0; without it, connections that
        # ended lately keep a replacement of this node off the address.
        server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._server = server
        bound_host, bound_port = server.bind_addr[:2]
        return Ok(f"{bound_host}:{bound_port}")

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the server to end; returns at once."""
        threading.Thread(target=self._stop_server, daemon=True).start()

    def join(self, timeout_s: float) -> bool:
        """Wait until the server ended."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _serve(self) -> None:
        if self._server is not None:
            self._server.serve()

    def _stop_server(self) -> None:
        if self._server is not None:
            self._server.stop()

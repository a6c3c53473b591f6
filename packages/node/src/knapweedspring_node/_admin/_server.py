"""HTTP server of the admin pages, run as a child of the supervisor."""

import socket
import threading
from dataclasses import dataclass

from cheroot.wsgi import Server
from result import Err, Ok, Result

from knapweedspring_core import Child, MetricsPage
from knapweedspring_node._admin._backend import AdminBackend
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
    """Serves the admin pages; call :meth:`bind`, then :meth:`start`.

    :param backend: supplies the node's state.
    :param metrics: renders the metrics page; the node's gauges are added to it.
    """

    def __init__(self, backend: AdminBackend, metrics: MetricsPage) -> None:
        register_gauges(metrics, backend)
        self._application = make_application(backend, metrics)
        self._server: Server | None = None
        self._thread = threading.Thread(target=self._serve, name=self.name)
        self._thread.daemon = True

    @property
    def name(self) -> str:
        """Name of the child and of its thread."""
        return "admin-pages"

    def bind(self, address: str) -> Result[str, AdminError]:
        """Bind the admin address.

        :param address: ``ip:port``; with port 0 a free port is bound.
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
            return Err(AdminError(f"cannot bind the admin address {address}: {error}"))
        # Cheroot does not set SO_REUSEADDR for port 0. Without it, a node that replaces
        # this one cannot bind the address while old connections are in TIME_WAIT.
        server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._server = server
        bound_host, bound_port = server.bind_addr[:2]
        return Ok(f"{bound_host}:{bound_port}")

    def start(self) -> None:
        """Start to serve the pages."""
        self._thread.start()

    def stop(self) -> None:
        """Request the server to stop; return at once."""
        threading.Thread(target=self._stop_server, daemon=True).start()

    def join(self, timeout_s: float) -> bool:
        """Wait until the server has stopped.

        :param timeout_s: longest wait in seconds.
        :return: False when the server was still running after ``timeout_s``.
        """
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _serve(self) -> None:
        if self._server is not None:
            self._server.serve()

    def _stop_server(self) -> None:
        if self._server is not None:
            self._server.stop()

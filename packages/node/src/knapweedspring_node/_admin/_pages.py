"""Handlers of the admin pages, as a CherryPy application."""

from dataclasses import dataclass
from typing import Any, TypeVar

import cherrypy
import msgspec
from result import Err, Ok, Result

from knapweedspring_core import (
    AnnouncedUpstream,
    EventsPage,
    MembersPage,
    MetricsPage,
    PageProblem,
    StatusPage,
)
from knapweedspring_node._admin._backend import AdminBackend

__all__ = ["make_application"]

MAX_ANNOUNCEMENT_BYTES = 16_384
MAX_REPORT_BYTES = 1_000_000
#: Largest ``slots`` and ``connections`` in an announcement; an announcement with more
#: is answered with status 400.
MAX_SLOTS = 1_000_000
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Accepted:
    """Answer to an announcement or a report."""

    #: Node ID of the node that accepted the announcement or report.
    node_id: str


class _Pages:
    """Request handlers, named after their paths; each returns the answer's body."""

    def __init__(self, backend: AdminBackend, metrics: MetricsPage) -> None:
        self._backend = backend
        self._metrics = metrics

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def status(self) -> bytes:
        """Return the node's state."""
        return _json(self._backend.status())

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def members(self) -> bytes:
        """Return the membership view."""
        node_id = self._backend.status().node_id
        return _json(MembersPage(node_id, self._backend.members()))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def events(self) -> bytes:
        """Return the event ring."""
        node_id = self._backend.status().node_id
        return _json(EventsPage(node_id, self._backend.events()))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = METRICS_CONTENT_TYPE
        return self._metrics.render()

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def explain(self, request_id: str) -> bytes:
        """Return the events of a request that are in this node's event ring."""
        return _json(self._backend.explain(request_id))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def upstreams(self) -> bytes:
        """Receive an upstream's announcement."""
        announced = _read_announcement(_read_body(MAX_ANNOUNCEMENT_BYTES))
        if isinstance(announced, Err):
            cherrypy.response.status = 400
            return _json(announced.err_value)
        self._backend.announce(announced.ok_value)
        return _json(_Accepted(self._backend.status().node_id))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def reports(self) -> bytes:
        """Receive the state of another node of the data centre."""
        try:
            body = _read_body(MAX_REPORT_BYTES)
            page = msgspec.json.decode(body, type=StatusPage)
        except msgspec.DecodeError as error:
            cherrypy.response.status = 400
            return _json(PageProblem(str(error)))
        self._backend.receive_report(page)
        return _json(_Accepted(self._backend.status().node_id))


def make_application(
    backend: AdminBackend, metrics: MetricsPage
) -> cherrypy.Application:
    """Create the WSGI application of the pages.

    :param backend: supplies the node's state.
    :param metrics: renders the body of the metrics page.
    """
    cherrypy.config.update({"environment": "embedded"})
    settings = {
        "/": {
            "error_page.default": _error_page,
            # The handlers read the JSON bodies; CherryPy's processors parse forms.
            "request.process_request_body": True,
            "request.body.processors": {},
            "tools.encode.on": False,
        }
    }
    application = cherrypy.Application(_Pages(backend, metrics), "", settings)
    application.log.screen = False
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def _read_body(max_bytes: int) -> bytes:
    """Read at most ``max_bytes`` of the request's body."""
    return cherrypy.request.body.read(max_bytes)


def _json(page: object) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(page)


def _error_page(status: str, message: str, **_: Any) -> bytes:
    return _json(PageProblem(f"{status}: {message}"))


def _read_announcement(body: bytes) -> Result[AnnouncedUpstream, PageProblem]:
    try:
        announced = msgspec.json.decode(body, type=AnnouncedUpstream)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(PageProblem(str(error)))
    problem = _validate(announced)
    return Ok(announced) if problem is None else Err(PageProblem(problem))


def _validate(announced: AnnouncedUpstream) -> str | None:
    """Check rules that types cannot express; return which field to change, or None."""
    if not announced.service or "/" in announced.service:
        return "$.service: write the first segment of the calls' paths"
    host, _, port = announced.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        return "$.address: write ip:port"
    if not 0 < announced.slots <= MAX_SLOTS:
        return f"$.slots: write a number from 1 to {MAX_SLOTS}"
    if not 0 < announced.connections <= MAX_SLOTS:
        return f"$.connections: write a number from 1 to {MAX_SLOTS}"
    return None

"""Handlers of the readiness check and of the metrics page."""

from collections.abc import Callable

from knapweedspring_core import MetricsPage
from knapweedspring_relay._http_server import Exchange, RequestHandler

__all__ = ["MetricsHandler", "ReadinessHandler"]


class ReadinessHandler(RequestHandler):
    """Answers whether the node accepts calls from callers.

    :param path: path of the readiness check.
    :param is_ready: returns whether the node is ready.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path.encode()
        self._is_ready = is_ready

    async def handle(self, exchange: Exchange) -> None:
        """Answer 200 when ready, else 503."""
        path = exchange.request.target.partition(b"?")[0]
        if path != self._path:
            exchange.send_answer(404, [])
        else:
            exchange.send_answer(200 if self._is_ready() else 503, [])


class MetricsHandler(RequestHandler):
    """Serves the metrics page.

    :param page: page to serve.
    """

    def __init__(self, page: MetricsPage) -> None:
        self._page = page

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the rendered page."""
        if exchange.request.target.partition(b"?")[0] != b"/metrics":
            exchange.send_answer(404, [])
            return
        content_type = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        exchange.send_answer(200, [content_type], self._page.render())

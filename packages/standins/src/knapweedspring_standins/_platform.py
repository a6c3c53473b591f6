"""Platform stand-in: an in-memory object API over HTTP with configurable faults.

The protocol is in docs/PLATFORM.md. In addition, ``POST /-/fault`` sets the faults
(:class:`Faults` as JSON; omitted fields are off) and ``GET /-/calls`` returns
:class:`CallCounts`.
"""

import argparse
import os
import signal
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot.wsgi import Gateway_10, Server
from result import Err

from knapweedspring_core import ObjectKey, ObjectRecord
from knapweedspring_standins._platform_faults import FaultControl, Faults
from knapweedspring_standins._platform_objects import (
    ObjectTable,
    Revision,
    VersionConflict,
)

__all__ = ["PlatformServer", "run_platform"]

N_THREADS = 96
#: Interval in seconds at which the server checks whether it was stopped.
STOP_CHECK_S = 0.05
MAX_WATCH_MS = 60_000
MAX_CONTENT_BYTES = 1_000_000

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    500: "500 Internal Server Error",
}


@dataclass(frozen=True, slots=True)
class _WireObject:
    kind: str
    name: str
    version: int
    deleted: bool
    writer: str
    content: str


@dataclass(frozen=True, slots=True)
class _WireRevision:
    version: int
    items: tuple[_WireObject, ...]


@dataclass(frozen=True, slots=True)
class _WireConflict:
    version: int


@dataclass(frozen=True, slots=True)
class _WireProblem:
    problem: str


@dataclass(frozen=True, slots=True)
class _WriteBody:
    writer: str
    content: str = ""


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: object


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    query: str
    body: bytes
    expected_version: str
    data_centre: str


class _Gateway(Gateway_10):
    """Passes the connection to the application, which aborts it for some faults."""

    def get_environ(self) -> Any:
        environ: Any = super().get_environ()
        environ["platform.socket"] = self.req.conn.socket
        return environ


class _PlatformApp:
    """WSGI application of the stand-in."""

    def __init__(self) -> None:
        self._table = ObjectTable()
        self._control = FaultControl()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        request = _read_request(environ)
        answer = self._answer(request)
        if answer is None:
            _abort_connection(environ["platform.socket"])
            answer = _Answer(500, _WireProblem("broken off"))
        body = msgspec.json.encode(answer.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(_STATUS_LINES[answer.status], headers)
        return [body]

    def abort_all_calls(self) -> None:
        """Abort the watches that wait now, and every later call."""
        self._control.replace(Faults(down=True))
        self._table.interrupt_watches()

    def _answer(self, request: _Request) -> _Answer | None:
        """Return the answer to a request; None to abort its connection instead."""
        if request.path.startswith("/-/"):
            return self._answer_control(request)
        parts = request.path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (1, 3):
            return _Answer(404, _WireProblem("no such page"))
        operation = _operation(request, parts)
        self._control.count(operation, request.data_centre)
        time.sleep(self._control.faults.slow_ms / 1_000)
        if self._control.aborts_call(request.data_centre):
            return None
        if operation == "list":
            listed = self._table.list_all(_kinds(request))
            return _Answer(200, _wire_revision(listed))
        if operation == "watch":
            return self._answer_watch(request)
        key = ObjectKey(parts[1], parts[2])
        if operation == "get":
            return _answer_get(self._table.get(key))
        return self._answer_write(request, key, operation)

    def _answer_watch(self, request: _Request) -> _Answer | None:
        query = parse_qs(request.query)
        try:
            version = int(query["watch"][0])
            wait_ms = min(int(query.get("wait_ms", ["0"])[0]), MAX_WATCH_MS)
        except ValueError:
            return _Answer(400, _WireProblem("watch and wait_ms are numbers"))
        watched = self._table.watch(version, wait_ms / 1_000, _kinds(request))
        if self._control.aborts_call(request.data_centre):
            return None
        if isinstance(watched, Err):
            problem = f"changes before {watched.err_value.oldest} are forgotten"
            return _Answer(410, _WireProblem(problem))
        return _Answer(200, _wire_revision(watched.ok_value))

    def _answer_write(
        self, request: _Request, key: ObjectKey, operation: str
    ) -> _Answer | None:
        if len(request.body) > MAX_CONTENT_BYTES:
            return _Answer(413, _WireProblem("values hold up to a megabyte"))
        try:
            body = msgspec.json.decode(request.body, type=_WriteBody)
            expected = int(request.expected_version)
        except (msgspec.DecodeError, ValueError) as error:
            return _Answer(400, _WireProblem(f"body or If-Match: {error}"))
        if operation == "put":
            written = self._table.put(key, expected, body.content, body.writer)
        else:
            written = self._table.delete(key, expected, body.writer)
        if isinstance(written, Err):
            return _answer_conflict(written.err_value)
        if self._control.consume_lost_answer():
            return None
        return _Answer(200, _wire_object(written.ok_value))

    def _answer_control(self, request: _Request) -> _Answer:
        if request.path == "/-/calls":
            return _Answer(200, self._control.counts)
        if request.path != "/-/fault" or request.method != "POST":
            return _Answer(404, _WireProblem("use POST /-/fault or GET /-/calls"))
        try:
            faults = msgspec.json.decode(request.body, type=Faults)
        except msgspec.DecodeError as error:
            return _Answer(400, _WireProblem(str(error)))
        self._control.replace(faults)
        if faults.forget_history:
            self._table.forget_history()
        if faults.down or faults.cut_off:
            # Waiting watches end, so that the new faults apply to them too.
            self._table.interrupt_watches()
        return _Answer(200, faults)


class PlatformServer:
    """HTTP server of the stand-in; tests run it inside their own process.

    :param port: port on 127.0.0.1; 0 selects a free port.
    """

    def __init__(self, port: int = 0) -> None:
        self._app = _PlatformApp()
        self._server = Server(
            ("127.0.0.1", port),
            self._app,
            numthreads=N_THREADS,
            request_queue_size=256,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.expiration_interval = STOP_CHECK_S
        self._server.prepare()

    @property
    def address(self) -> str:
        """``ip:port`` that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def serve(self) -> None:
        """Serve calls until :meth:`stop`."""
        self._server.serve()

    def stop(self) -> None:
        """End :meth:`serve` and abort the waiting watches."""
        self._app.abort_all_calls()
        self._server.stop()


def run_platform(port: int) -> None:
    """Serve until SIGTERM or SIGINT; print one JSON line when ready.

    :param port: port on 127.0.0.1; 0 selects a free port.
    """
    server = PlatformServer(port)
    threading.Thread(target=server.serve, daemon=True).start()
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    ready = f'{{"ready": true, "address": "{server.address}"}}'
    print(ready, flush=True)
    stop.wait()
    # The server's threads would keep the process alive while a watch waits.
    os._exit(0)


def _read_request(environ: dict[str, Any]) -> _Request:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return _Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        body=environ["wsgi.input"].read(length) if length else b"",
        expected_version=environ.get("HTTP_IF_MATCH", ""),
        data_centre=environ.get("HTTP_X_DATA_CENTRE", ""),
    )


def _operation(request: _Request, parts: list[str]) -> str:
    if len(parts) == 1:
        return "watch" if "watch=" in request.query else "list"
    return request.method.lower()


def _kinds(request: _Request) -> frozenset[str]:
    """Kinds that a list or watch is limited to; empty for all kinds."""
    texts = parse_qs(request.query).get("kinds", [])
    return frozenset(kind for text in texts for kind in text.split(","))


def _answer_get(record: ObjectRecord | None) -> _Answer:
    if record is None:
        return _Answer(404, _WireProblem("no such object"))
    return _Answer(200, _wire_object(record))


def _answer_conflict(conflict: VersionConflict) -> _Answer:
    return _Answer(409, _WireConflict(conflict.version))


def _wire_object(record: ObjectRecord) -> _WireObject:
    return _WireObject(
        kind=record.key.kind,
        name=record.key.name,
        version=record.version,
        deleted=record.deleted,
        writer=record.writer,
        content=record.content,
    )


def _wire_revision(revision: Revision) -> _WireRevision:
    items = tuple(_wire_object(record) for record in revision.items)
    return _WireRevision(revision.version, items)


def _abort_connection(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller closed the connection already.
        return


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    run_platform(parser.parse_args().port)

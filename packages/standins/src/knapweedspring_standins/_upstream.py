"""Upstream stand-in: an HTTP server with slots, a queue and configurable faults.

Requests below ``/-/`` control the stand-in: ``GET /-/journal``,
``POST /-/fault``, ``GET /-/load``, ``GET /-/health``. All others are service
requests.
"""

import contextlib
import hashlib
import json
import logging
import random
import signal
import sys
import threading
import time
from itertools import count
from typing import Any

import msgspec
from cheroot.server import Gateway, HTTPConnection, HTTPServer

from knapweedspring_core import UpstreamState
from knapweedspring_standins._announcer import Announcer
from knapweedspring_standins._child_calls import ChildCaller
from knapweedspring_standins._journal import (
    EntryKind,
    Journal,
    JournalEntry,
    JournalPage,
)
from knapweedspring_standins._slots import SlotQueue
from knapweedspring_standins._upstream_settings import (
    UpstreamFaults,
    UpstreamSettings,
)
from knapweedspring_standins._work import WorkRequest, handle_request

__all__ = ["Upstream", "run_upstream"]

N_CONTROL_THREADS = 4
LISTEN_BACKLOG = 512
IDLE_CONNECTION_TIMEOUT_S = 120
#: Interval in seconds at which the server checks whether it was stopped.
STOP_CHECK_S = 0.2
DRAIN_POLL_S = 0.05
#: Seconds without a request in flight after which a drain is complete.
DRAIN_IDLE_S = 1.0


class Upstream:
    """One upstream; :meth:`start` serves requests in background threads.

    :param settings: settings of the upstream.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._faults = UpstreamFaults()
        self._not_frozen = threading.Event()
        self._not_frozen.set()
        self._journal = Journal(settings.journal_file)
        self._slots = SlotQueue(settings.n_slots)
        self._random = random.Random(settings.seed)
        self._attempt_numbers = count(1)
        self._shed_numbers = count(1)
        self._connections = _ConnectionCount(settings.n_connections)
        self._server = _UpstreamServer(self)
        self._n_in_flight = 0
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._last_request_end_at = 0.0
        self._leaving_at = 0.0
        #: Monotonic time of the last load measurement in s, and the load measured then.
        self._load = (0.0, 0.0)
        self._children = (
            ChildCaller(settings.node_calls) if settings.node_calls else None
        )
        self._server.prepare()
        host, port = self._server.bind_addr
        self._address = f"{host}:{port}"
        self._announcer = Announcer(settings, self._address)

    @property
    def address(self) -> str:
        """``ip:port`` that the upstream serves on."""
        return self._address

    @property
    def announcer(self) -> Announcer:
        """Sender of the heartbeats to the node on the VM."""
        return self._announcer

    @property
    def children(self) -> ChildCaller | None:
        """Client for child calls; None if the settings name no node to call through."""
        return self._children

    @property
    def connections(self) -> "_ConnectionCount":
        """Count and limit of the open connections."""
        return self._connections

    @property
    def faults(self) -> UpstreamFaults:
        """Faults in force."""
        return self._faults

    @property
    def journal(self) -> Journal:
        """Journal of the requests and of the upstream's own states."""
        return self._journal

    @property
    def n_in_flight(self) -> int:
        """Number of requests received and not yet answered."""
        return self._n_in_flight

    @property
    def settings(self) -> UpstreamSettings:
        """Settings of the upstream."""
        return self._settings

    @property
    def slots(self) -> SlotQueue:
        """Slots and the queue in front of them."""
        return self._slots

    def start(self) -> None:
        """Serve in background threads; announce ``starting``, and later ``ready``."""
        for run in (self._server.serve, self._announcer.run, self._become_ready):
            threading.Thread(target=run, daemon=True).start()

    def drain(self) -> bool:
        """Announce ``leaving`` and wait until the in-flight requests ended.

        :return: whether all requests ended before the stop deadline.
        """
        self._change_state(UpstreamState.LEAVING)
        deadline_at = time.monotonic() + self._settings.stop_deadline_ms / 1_000
        while time.monotonic() < deadline_at:
            idle_s = time.monotonic() - max(self._last_request_end_at, self._leaving_at)
            if self._n_in_flight == 0 and idle_s >= DRAIN_IDLE_S:
                return True
            time.sleep(DRAIN_POLL_S)
        return False

    def stop(self) -> None:
        """End the server and the heartbeats without draining."""
        self._announcer.stop()
        self._server.stop()

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force."""
        self._faults = faults
        if faults.freeze:
            self._not_frozen.clear()
        else:
            self._not_frozen.set()

    def wait_while_frozen(self) -> None:
        """Block while the fault ``freeze`` is in force."""
        self._not_frozen.wait()

    def next_attempt_id(self) -> str:
        """Return the id of a new attempt."""
        return f"{self._address}/{next(self._attempt_numbers)}"

    def is_shed(self) -> bool:
        """Return whether the faults in force shed the request that has arrived."""
        faults = self._faults
        if faults.shed_every:
            return next(self._shed_numbers) % faults.shed_every == 0
        return faults.shed

    def service_time_s(self) -> float:
        """Return a random time in seconds that one request occupies its slot."""
        settings = self._settings
        spread = settings.service_spread
        with self._lock:
            variation = 1.0 + self._random.uniform(-spread, spread)
        base_s = settings.service_ms / 1_000 * self._faults.slow_factor
        return base_s * variation * self._cold_factor()

    def count_request_start(self) -> None:
        """Count a request that was received."""
        with self._lock:
            self._n_in_flight += 1

    def count_request_end(self) -> None:
        """Count a request that was answered or abandoned."""
        with self._lock:
            self._n_in_flight -= 1
            self._last_request_end_at = time.monotonic()

    def reported_load(self) -> float:
        """Return the load that the load endpoint reports.

        The load is the number of running and queued requests per slot. The value
        is cached for the time ``load_lag_ms`` of the settings.
        """
        if self._faults.load_value is not None:
            return self._faults.load_value
        now = time.monotonic()
        measured_at, value = self._load
        if now - measured_at > self._settings.load_lag_ms / 1_000:
            n_requests = self._slots.n_busy + self._slots.n_waiting
            value = n_requests / self._slots.n_slots
            self._load = (now, value)
        return value

    def reported_health(self) -> bool:
        """Return the health that the health endpoint reports."""
        if self._faults.healthy is not None:
            return self._faults.healthy
        return self._announcer.state is UpstreamState.READY

    def journal_page(self) -> JournalPage:
        """Return the journal with the entries written so far."""
        return JournalPage(
            upstream=self._address,
            service=self._settings.service,
            entries=self._journal.entries,
            n_connections_max=self._connections.n_max,
        )

    def _cold_factor(self) -> float:
        cold_s = self._settings.cold_ms / 1_000
        age_s = time.monotonic() - self._started_at
        if age_s >= cold_s:
            return 1.0
        return 1.0 + (self._settings.cold_factor - 1.0) * (1.0 - age_s / cold_s)

    def _become_ready(self) -> None:
        time.sleep(self._settings.starting_ms / 1_000)
        if self._announcer.state is UpstreamState.STARTING:
            self._change_state(UpstreamState.READY)

    def _change_state(self, state: UpstreamState) -> None:
        self._announcer.change_state(state)
        now = time.monotonic()
        if state is UpstreamState.LEAVING:
            self._leaving_at = now
        self._journal.append(
            JournalEntry(
                kind=EntryKind.STATE,
                time_s=now,
                service=self._settings.service,
                upstream=self._address,
                detail=state.value,
            )
        )


class _ConnectionCount:
    """Counts open connections and compares them with the limit."""

    def __init__(self, n_limit: int) -> None:
        self._n_limit = n_limit
        self._n_open = 0
        self._n_max = 0
        self._lock = threading.Lock()

    @property
    def n_max(self) -> int:
        """Maximum number of connections that were open at once."""
        return self._n_max

    def count_opened(self) -> bool:
        """Count an opened connection.

        :return: whether the connection is within the limit.
        """
        with self._lock:
            self._n_open += 1
            self._n_max = max(self._n_max, self._n_open)
            return self._n_open <= self._n_limit

    def count_closed(self) -> None:
        """Count a closed connection."""
        with self._lock:
            self._n_open -= 1


class _UpstreamConnection(HTTPConnection):
    """Server connection that is counted against the upstream's limit."""

    def __init__(self, server: "_UpstreamServer", *args: Any, **kwargs: Any) -> None:
        super().__init__(server, *args, **kwargs)
        #: Copy of a refusal, sent after the next request; empty for none.
        self.late_copy = b""
        self._count = server.upstream.connections
        self._counted = True
        self._allowed = self._count.count_opened()

    def communicate(self) -> bool:
        """Serve one request; return False to close a connection beyond the limit."""
        return self._allowed and super().communicate()

    def close(self) -> None:
        """Close the connection and count it as closed once."""
        if self._counted:
            self._counted = False
            self._count.count_closed()
        with contextlib.suppress(OSError):
            super().close()


class _UpstreamServer(HTTPServer):
    """HTTP server of one upstream."""

    ConnectionClass = _UpstreamConnection
    request_queue_size = LISTEN_BACKLOG
    timeout = IDLE_CONNECTION_TIMEOUT_S
    expiration_interval = STOP_CHECK_S

    def __init__(self, upstream: Upstream) -> None:
        settings = upstream.settings
        n_threads = settings.n_slots + settings.n_backlog + N_CONTROL_THREADS
        super().__init__(
            ("127.0.0.1", settings.port),
            gateway=_UpstreamGateway,
            minthreads=n_threads,
            maxthreads=n_threads,
        )
        # _ConnectionCount enforces the connection limit instead.
        self.keep_alive_conn_limit = sys.maxsize
        self.upstream = upstream

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log errors only; aborted connections are expected here."""
        if level >= logging.ERROR:
            super().error_log(msg, level, traceback)


class _UpstreamGateway(Gateway):
    """Answers one HTTP request to an upstream."""

    def respond(self) -> None:
        """Answer a control request, or handle a service request."""
        upstream = self.req.server.upstream
        path = self.req.path.decode("latin-1")
        control_path = path.removeprefix(f"/{upstream.settings.service}")
        if control_path.startswith("/-/"):
            self._respond_control(upstream, control_path)
            return
        body = self.req.rfile.read()
        digest = hashlib.sha256(body).hexdigest()
        upstream.count_request_start()
        try:
            handle_request(upstream, WorkRequest(self.req, path, digest))
        finally:
            upstream.count_request_end()

    def _respond_control(self, upstream: Upstream, path: str) -> None:
        method = self.req.method.decode("latin-1")
        if (method, path) == ("GET", "/-/journal"):
            self._answer(b"200 OK", msgspec.json.encode(upstream.journal_page()))
        elif (method, path) == ("GET", "/-/load"):
            self._answer(
                b"200 OK", json.dumps({"load": upstream.reported_load()}).encode()
            )
        elif (method, path) == ("GET", "/-/health"):
            healthy = upstream.reported_health()
            status = b"200 OK" if healthy else b"503 Service Unavailable"
            self._answer(status, json.dumps({"healthy": healthy}).encode())
        elif (method, path) == ("POST", "/-/fault"):
            self._set_faults(upstream)
        else:
            self._answer(b"404 Not Found", b'{"error": "no such control page"}')

    def _set_faults(self, upstream: Upstream) -> None:
        try:
            faults = msgspec.json.decode(self.req.rfile.read(), type=UpstreamFaults)
        except msgspec.DecodeError as error:
            self._answer(b"400 Bad Request", json.dumps({"error": str(error)}).encode())
            return
        upstream.set_faults(faults)
        self._answer(b"200 OK", msgspec.json.encode(faults))

    def _answer(self, status: bytes, body: bytes) -> None:
        self.req.status = status
        self.req.outheaders = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
        ]
        self.req.ensure_headers_sent()
        self.req.write(body)


def run_upstream(settings: UpstreamSettings) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop.

    Prints one JSON line when the upstream is ready to serve.
    """
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    upstream = Upstream(settings)
    upstream.start()
    print(json.dumps({"ready": True, "address": upstream.address}), flush=True)
    stop_requested.wait()
    upstream.drain()
    upstream.stop()

"""Upstream stand-in: a real HTTP server with slots, a queue and faults.

Requests below ``/-/`` control the stand-in: ``GET /-/journal``,
``POST /-/fault``, ``GET /-/load``, ``GET /-/health``. All others are work.
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
from knapweedspring_standins._work import WorkRequest, work

__all__ = ["Upstream", "run_upstream"]

N_CONTROL_THREADS = 4
LISTEN_BACKLOG = 512
IDLE_CONNECTION_S = 120
SELECT_S = 0.2
DRAIN_POLL_S = 0.05
DRAIN_QUIET_S = 1.0


class Upstream:
    """One upstream; :meth:`start` serves in threads of its own.

    :param settings: behaviour.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._faults = UpstreamFaults()
        self._thawed = threading.Event()
        self._thawed.set()
        self._journal = Journal(settings.journal_file)
        self._slots = SlotQueue(settings.n_slots)
        self._random = random.Random(settings.seed)
        self._numbers = count(1)
        self._connections = _ConnectionCount(settings.n_connections)
        self._server = _UpstreamServer(self)
        self._n_in_flight = 0
        self._lock = threading.Lock()
        self._started_s = time.monotonic()
        self._last_work_s = 0.0
        self._left_s = 0.0
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
        """``ip:port`` that it serves on."""
        return self._address

    @property
    def announcer(self) -> Announcer:
        """What tells the node of this upstream."""
        return self._announcer

    @property
    def children(self) -> ChildCaller | None:
        """Maker of child calls; None without a node."""
        return self._children

    @property
    def connections(self) -> "_ConnectionCount":
        """Open connections."""
        return self._connections

    @property
    def faults(self) -> UpstreamFaults:
        """Faults in force."""
        return self._faults

    @property
    def journal(self) -> Journal:
        """Run journal."""
        return self._journal

    @property
    def n_in_flight(self) -> int:
        """Requests received and not yet answered."""
        return self._n_in_flight

    @property
    def settings(self) -> UpstreamSettings:
        """Behaviour."""
        return self._settings

    @property
    def slots(self) -> SlotQueue:
        """Slots and the queue in front of them."""
        return self._slots

    def start(self) -> None:
        """Serve, and announce ``starting`` and then ``ready``."""
        for run in (self._server.serve, self._announcer.run, self._become_ready):
            threading.Thread(target=run, daemon=True).start()

    def leave(self) -> bool:
        """Announce that it leaves, and wait until the work is done.

        :return: whether all work ended before the stop deadline.
        """
        self._change_state(UpstreamState.LEAVING)
        until = time.monotonic() + self._settings.stop_deadline_ms / 1_000
        while time.monotonic() < until:
            quiet_s = time.monotonic() - max(self._last_work_s, self._left_s)
            if self._n_in_flight == 0 and quiet_s >= DRAIN_QUIET_S:
                return True
            time.sleep(DRAIN_POLL_S)
        return False

    def stop(self) -> None:
        """End the server and the heartbeat at once."""
        self._announcer.stop()
        self._server.stop()

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force."""
        self._faults = faults
        if faults.freeze:
            self._thawed.clear()
        else:
            self._thawed.set()

    def wait_thawed(self) -> None:
        """Stand still while the fault ``freeze`` is in force."""
        self._thawed.wait()

    def next_attempt(self) -> str:
        """Name a new attempt."""
        return f"{self._address}/{next(self._numbers)}"

    def service_time_s(self) -> float:
        """Draw the time that one request keeps its slot."""
        settings = self._settings
        spread = settings.service_spread
        with self._lock:
            varied = 1.0 + self._random.uniform(-spread, spread)
        base_s = settings.service_ms / 1_000 * self._faults.slow_factor
        return base_s * varied * self._cold_factor()

    def entered(self) -> None:
        """Count a request in."""
        with self._lock:
            self._n_in_flight += 1

    def left(self) -> None:
        """Count a request out."""
        with self._lock:
            self._n_in_flight -= 1
            self._last_work_s = time.monotonic()

    def load(self) -> float:
        """Busy part of the slots, as old as the settings allow."""
        if self._faults.load_value is not None:
            return self._faults.load_value
        now = time.monotonic()
        taken_s, value = self._load
        if now - taken_s > self._settings.load_lag_ms / 1_000:
            n_wanted = self._slots.n_busy + self._slots.n_waiting
            value = n_wanted / self._slots.n_slots
            self._load = (now, value)
        return value

    def healthy(self) -> bool:
        """What the health endpoint claims."""
        if self._faults.healthy is not None:
            return self._faults.healthy
        return self._announcer.state is UpstreamState.READY

    def page(self) -> JournalPage:
        """The journal as it stands."""
        return JournalPage(
            upstream=self._address,
            service=self._settings.service,
            entries=self._journal.entries,
            n_connections_max=self._connections.n_max,
        )

    def _cold_factor(self) -> float:
        cold_s = self._settings.cold_ms / 1_000
        age_s = time.monotonic() - self._started_s
        if age_s >= cold_s:
            return 1.0
        return 1.0 + (self._settings.cold_factor - 1.0) * (1.0 - age_s / cold_s)

    def _become_ready(self) -> None:
        time.sleep(self._settings.starting_ms / 1_000)
        if self._announcer.state is UpstreamState.STARTING:
            self._change_state(UpstreamState.READY)

    def _change_state(self, state: UpstreamState) -> None:
        self._announcer.change(state)
        now = time.monotonic()
        if state is UpstreamState.LEAVING:
            self._left_s = now
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
    """Counts open connections against the limit."""

    def __init__(self, n_limit: int) -> None:
        self._n_limit = n_limit
        self._n_open = 0
        self._n_max = 0
        self._lock = threading.Lock()

    @property
    def n_max(self) -> int:
        """Most connections that were open at once."""
        return self._n_max

    def opened(self) -> bool:
        """Count one in; False when it is one too many."""
        with self._lock:
            self._n_open += 1
            self._n_max = max(self._n_max, self._n_open)
            return self._n_open <= self._n_limit

    def closed(self) -> None:
        """Count one out."""
        with self._lock:
            self._n_open -= 1


class _UpstreamConnection(HTTPConnection):
    """A connection that the upstream counts."""

    def __init__(self, server: "_UpstreamServer", *args: Any, **kwargs: Any) -> None:
        super().__init__(server, *args, **kwargs)
        self._count = server.upstream.connections
        self._counted = True
        self._allowed = self._count.opened()

    def communicate(self) -> bool:
        """Serve one request; a connection past the limit is closed."""
        return self._allowed and super().communicate()

    def close(self) -> None:
        """Close the connection and count it out."""
        if self._counted:
            self._counted = False
            self._count.closed()
        with contextlib.suppress(OSError):
            super().close()


class _UpstreamServer(HTTPServer):
    """The HTTP server of one upstream."""

    ConnectionClass = _UpstreamConnection
    request_queue_size = LISTEN_BACKLOG
    timeout = IDLE_CONNECTION_S
    expiration_interval = SELECT_S

    def __init__(self, upstream: Upstream) -> None:
        settings = upstream.settings
        n_threads = settings.n_slots + settings.n_backlog + N_CONTROL_THREADS
        super().__init__(
            ("127.0.0.1", settings.port),
            gateway=_UpstreamGateway,
            minthreads=n_threads,
            maxthreads=n_threads,
        )
        # The upstream counts connections itself.
        self.keep_alive_conn_limit = sys.maxsize
        self.upstream = upstream

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Report faults only; a connection that broke is ordinary here."""
        if level >= logging.ERROR:
            super().error_log(msg, level, traceback)


class _UpstreamGateway(Gateway):
    """Answers one request."""

    def respond(self) -> None:
        """Tell control requests from work."""
        upstream = self.req.server.upstream
        path = self.req.path.decode("latin-1")
        control_path = path.removeprefix(f"/{upstream.settings.service}")
        if control_path.startswith("/-/"):
            self._respond_control(upstream, control_path)
            return
        body = self.req.rfile.read()
        digest = hashlib.sha256(body).hexdigest()
        upstream.entered()
        try:
            work(upstream, WorkRequest(self.req, path, digest))
        finally:
            upstream.left()

    def _respond_control(self, upstream: Upstream, path: str) -> None:
        method = self.req.method.decode("latin-1")
        if (method, path) == ("GET", "/-/journal"):
            self._answer(b"200 OK", msgspec.json.encode(upstream.page()))
        elif (method, path) == ("GET", "/-/load"):
            self._answer(b"200 OK", json.dumps({"load": upstream.load()}).encode())
        elif (method, path) == ("GET", "/-/health"):
            healthy = upstream.healthy()
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
    """Serve until SIGTERM or SIGINT; then leave, finish and return."""
    ending = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ending.set())
    upstream = Upstream(settings)
    upstream.start()
    print(json.dumps({"ready": True, "address": upstream.address}), flush=True)
    ending.wait()
    upstream.leave()
    upstream.stop()

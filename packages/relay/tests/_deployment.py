"""Test deployment: relays in one process, an in-memory store, scripted upstreams."""

import asyncio
import collections
import contextlib
import itertools
import os
import socket
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok

from knapweedspring_core import Counters
from knapweedspring_relay import (
    CallHeaders,
    CallKind,
    CallLimits,
    Configuration,
    ConfigurationRead,
    ConnectionPool,
    ConnectionSettings,
    DeploymentAdapter,
    DeploymentStore,
    Destination,
    DirectoryChanges,
    DirectorySnapshot,
    EntryRecord,
    Exchange,
    Heartbeat,
    LineBuffer,
    Relay,
    RelaySettings,
    RequestHandler,
    RetrySettings,
    Route,
    Service,
    ShutdownSettings,
    StoreConflict,
    StoreHistoryGone,
    StorePosition,
    StoreSettings,
    StoreUnavailable,
    UpstreamState,
    encode_request,
)
from knapweedspring_relay._quotas import QuotaHandler

HEADERS = CallHeaders(
    request_id=b"x-id",
    deadline_ms=b"x-deadline-ms",
    signature=b"x-seal",
    expected_instance=b"x-expect",
    not_executed=b"x-not-run",
    caller_service=b"x-caller",
    rate_limit=b"x-limit",
    leaving=b"x-leaving",
    credentials=b"x-key",
    workspace=b"x-workspace",
    read_key=lambda value: value.strip() or None,
    parent_of=lambda request_id: request_id.rpartition("/")[0] or None,
)
ROUTES = (
    Route(
        "read", "h", "/read/", CallKind.IDEMPOTENT, (Destination("svc"),), 1, 2, 2, 2
    ),
    Route(
        "write",
        "h",
        "/write/",
        CallKind.NON_IDEMPOTENT,
        (Destination("svc"),),
        1,
        2,
        2,
        0,
    ),
)


def make_configuration(version=1, routes=ROUTES, limits=None, workspaces=()):
    services = (Service("svc", "/health", 100),)
    return Configuration(
        version, routes, services, limits or CallLimits(), tuple(workspaces)
    )


class IgnoredQuotas(QuotaHandler):
    """Discards the quota frames of other nodes."""

    def receive(self, sender, frame):
        pass

    def remove(self, sender):
        pass


#: Ports below the kernel's range for outgoing connections. A port in that range could
#: be taken by an outgoing connection after it is chosen and before it is used. Runs of
#: the tests that start together have neighbouring process ids; the stride keeps them
#: from using the same ports at the same time.
_ports = itertools.count(12_000 + os.getpid() * 997 % 16_000)


def free_address():
    for port in _ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise AssertionError("no port is free")


class MemoryStore(DeploymentStore):
    """An in-memory store that can be unavailable, or return from an older copy.

    It counts its calls by the method's name.
    """

    def __init__(self, configuration=None):
        self.configuration = configuration
        self.entries = {}
        self.revisions = {}
        self.revision = 1
        self.era = 0
        self.history = []
        self.history_begins = 0
        self.is_down = False
        self.calls = collections.Counter()
        self.changed = asyncio.Event()

    @property
    def position(self):
        return StorePosition(self.era, self.revision)

    def put_configuration(self, configuration):
        self.configuration = configuration
        self._record_change("config")

    def take_copy(self):
        return (
            self.configuration,
            dict(self.entries),
            dict(self.revisions),
            self.revision,
            list(self.history),
        )

    def restore(self, copy):
        """Return to a copy, in a new era; pending watches end without an answer."""
        self.configuration, entries, revisions, self.revision, history = copy
        self.entries, self.revisions = dict(entries), dict(revisions)
        self.history = list(history)
        self.era += 1
        self._wake()

    def _record_change(self, name):
        self.revision += 1
        self.history.append((self.revision, name))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def check_configuration(self, position):
        self.calls["check_configuration"] += 1
        watched = await self._watch(position, 0.0)
        if isinstance(watched, Err):
            return watched
        return Ok(ConfigurationRead(self.position, self.configuration))

    async def check_directory(self, position):
        self.calls["check_directory"] += 1
        watched = await self._watch(position, 0.0)
        if isinstance(watched, Err):
            return watched
        return Ok(self._changes_of(set(watched.ok_value) - {"config"}))

    async def _watch(self, position, wait_s):
        """Return the names changed after a position, or the failure of the watch."""
        if self.is_down:
            return Err(StoreUnavailable("down"))
        if position.era != self.era:
            return Err(StoreHistoryGone("restored"))
        if not self.history_begins <= position.revision <= self.revision:
            return Err(StoreHistoryGone("gone"))
        era, end = self.era, asyncio.get_running_loop().time() + wait_s
        while True:
            names = [n for rev, n in self.history if rev > position.revision]
            left_s = end - asyncio.get_running_loop().time()
            if names or left_s <= 0:
                return Ok(names)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
            if self.is_down or self.era != era:
                return Err(StoreUnavailable("cut off"))

    async def read_configuration(self):
        self.calls["read_configuration"] += 1
        if self.is_down:
            return Err(StoreUnavailable("down"))
        return Ok(ConfigurationRead(self.position, self.configuration))

    async def watch_configuration(self, position, wait_s):
        self.calls["watch_configuration"] += 1
        while True:
            watched = await self._watch(position, wait_s)
            if isinstance(watched, Err):
                return watched
            if "config" in watched.ok_value or not watched.ok_value:
                return Ok(ConfigurationRead(self.position, self.configuration))
            position = self.position

    async def read_directory(self):
        self.calls["read_directory"] += 1
        if self.is_down:
            return Err(StoreUnavailable("down"))
        return Ok(DirectorySnapshot(self.position, dict(self.entries)))

    async def watch_directory(self, position, wait_s):
        self.calls["watch_directory"] += 1
        while True:
            watched = await self._watch(position, wait_s)
            if isinstance(watched, Err):
                return watched
            names = set(watched.ok_value) - {"config"}
            if names or not watched.ok_value:
                break
            position = self.position
        return Ok(self._changes_of(names))

    def _changes_of(self, names):
        updated = tuple(e for n, e in self.entries.items() if n in names)
        removed = tuple(names - set(self.entries))
        return DirectoryChanges(self.position, updated, removed)

    def _record_of(self, node):
        position = StorePosition(self.era, self.revisions.get(node, 0))
        return EntryRecord(position, self.entries.get(node))

    async def read_entry(self, node):
        self.calls["read_entry"] += 1
        if self.is_down:
            return Err(StoreUnavailable("down"))
        return Ok(self._record_of(node))

    async def write_entry(self, entry, position):
        self.calls["write_entry"] += 1
        if self.is_down:
            return Err(StoreUnavailable("down"))
        if self._record_of(entry.node).position.revision != position.revision:
            return Err(StoreConflict("newer"))
        self.entries[entry.node] = entry
        self.revisions[entry.node] = self.revision + 1
        self._record_change(entry.node)
        return Ok(self._record_of(entry.node))

    async def delete_entry(self, node, position):
        self.calls["delete_entry"] += 1
        if self.is_down:
            return Err(StoreUnavailable("down"))
        self.entries.pop(node, None)
        self.revisions.pop(node, None)
        self._record_change(node)
        return Ok(self._record_of(node))

    def close(self):
        pass


@dataclass
class Upstream:
    """An upstream whose answers are written by a function of the test."""

    address: str
    script: Callable[["Upstream", bytes, asyncio.StreamWriter], Awaitable[None]]
    requests: list[bytes] = field(default_factory=list)
    n_connections: int = 0
    n_dropped: int = 0

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        self.n_connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(header_of(head, b"content-length") or 0)
                request = head + await reader.readexactly(length)
                self.requests.append(request)
                await self.script(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.n_dropped += 1
        finally:
            writer.close()


def header_of(message, name):
    for line in message.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return None


def answer_of(request, body=b"ok", status=b"200 OK", extra=b""):
    request_id = header_of(request, b"x-id") or b""
    return b"HTTP/1.1 %b\r\nx-id: %b\r\nx-seal: s\r\n%bcontent-length: %d\r\n\r\n%b" % (
        status,
        request_id,
        extra,
        len(body),
        body,
    )


async def answer_ok(upstream, request, writer):
    writer.write(answer_of(request))


class Deployment:
    """Relays, each with its upstream, as an asynchronous context manager."""

    def __init__(self, scripts, configuration=None, services=None):
        self.store = MemoryStore(configuration or make_configuration())
        self.upstreams = [Upstream(free_address(), script) for script in scripts]
        self.services = services or ["svc"] * len(scripts)
        self.relays = []
        self.settings = []
        self.tasks = []
        self.client = ConnectionPool(ConnectionSettings(1.0, 60.0, 2.0, b"x-id"))
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self._lines = LineBuffer(descriptor, Counters())
        self._n_ids = 0

    async def __aenter__(self):
        for index, upstream in enumerate(self.upstreams):
            await upstream.start()
            self.add_relay(index)
        await asyncio.sleep(0.05)
        for index in range(len(self.upstreams)):
            self.send_heartbeat(index)
        await self.wait_until(
            lambda: all(
                len(r._directory.ready_gates("svc")) == self.services.count("svc")
                and r.is_ready
                for r in self.relays
            )
        )
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            self._close_relay(relay)

    def add_relay(self, index, **changes):
        settings = RelaySettings(
            node=f"n{index}",
            data_centre="dc",
            service=self.services[index],
            upstream_address=self.upstreams[index].address,
            entry_address=free_address(),
            gate_address=free_address(),
            knowledge_address=free_address(),
            heartbeat_address=free_address(),
            readiness_address=free_address(),
            metrics_address=free_address(),
            store=StoreSettings("127.0.0.1:1"),
            shutdown=ShutdownSettings(3.0, 1.0),
            retries=RetrySettings(0.2, 480.0, 10.0),
        )
        settings = replace(settings, **changes)
        self.settings.append(settings)
        relay, task = self._start_relay(settings)
        self.relays.append(relay)
        self.tasks.append(task)

    async def restart_relay(self, index):
        """Kill a relay and start it again with the same settings."""
        self.tasks[index].cancel()
        self._close_relay(self.relays[index])
        await asyncio.sleep(0.05)
        started = self._start_relay(self.settings[index])
        self.relays[index], self.tasks[index] = started

    def _start_relay(self, settings):
        adapter = DeploymentAdapter(
            headers=HEADERS,
            readiness_path="/ready",
            store=self.store,
            heartbeat_handler=lambda _: _NoHeartbeats(),
            read_settings=lambda: Ok(settings),
            settings_file=os.path.join(tempfile.gettempdir(), "absent"),
        )
        relay = Relay(settings, adapter, Counters(), self._lines)
        return relay, asyncio.ensure_future(relay.run())

    def _close_relay(self, relay):
        relay._supervisor.stop()
        relay._knowledge.stop()
        for listener in relay._listeners:
            listener.close()

    def send_heartbeat(self, index, sequence=1, **changes):
        heartbeat = Heartbeat(
            f"i-{index}",
            self.services[index],
            self.upstreams[index].address,
            20,
            UpstreamState.READY,
            0.0,
            sequence,
            1000 + index,
        )
        return self.relays[index].apply_heartbeat(replace(heartbeat, **changes))

    async def call(self, path="/read/1", method=b"GET", body=b"", index=0, **headers):
        self._n_ids += 1
        request_id = headers.pop("request_id", b"id-%d" % self._n_ids)
        fields = {"host": "h", "x-id": request_id.decode(), "x-deadline-ms": "1500"}
        fields.update({name.replace("_", "-"): v for name, v in headers.items()})
        data = encode_request(
            method,
            path.encode(),
            [(k.encode(), v.encode()) for k, v in fields.items()],
            body,
        )
        address = self.settings[index].entry_address
        answer = await self.client.call(address, data, request_id, timeout_s=5.0)
        pieces = b""
        while piece := await answer.read():
            pieces += piece
        return answer.status, answer, pieces

    async def send_raw(self, data, index=0, wait_s=0.5):
        """Send bytes to an entry and return all received bytes."""
        host, port = self.settings[index].entry_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        received = b""
        try:
            while True:
                piece = await asyncio.wait_for(reader.read(65536), wait_s)
                if not piece:
                    break
                received += piece
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return received

    async def wait_until(self, condition, limit_s=3.0):
        for _ in range(int(limit_s / 0.01)):
            for task in self.tasks:
                if task.done() and not task.cancelled():
                    task.result()
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not come true in time")


class _NoHeartbeats(RequestHandler):
    async def handle(self, exchange: Exchange):
        exchange.send_answer(404, [])

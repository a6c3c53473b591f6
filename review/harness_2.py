"""Stand-ins of the platform's store, servers and clients, and the relay processes.

Used by the scripts of the cases 6 to 10. Only the standard library is needed. The
relays are started with the command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[1]
HOST = "shop.example"
#: Bounds of the small deployment, in seconds.
DRAIN_S, GRACE_S, CONTACT_S, CONFIG_S = 2.0, 6.0, 3.0, 2.0
STRETCH_MAX_S, BACK_S, BEAT_S = 5.0, 0.25, 1.5
BROKEN = (OSError, EOFError, ValueError, asyncio.LimitOverrunError, TimeoutError)
PORTS = (
    "upstream_address",
    "entry_address",
    "gate_address",
    "knowledge_address",
    "heartbeat_address",
    "readiness_address",
    "metrics_address",
)


def has_trouble() -> bool:
    """Return whether the disruption is played, as ``run.sh`` hands on ``TROUBLE``."""
    return sys.argv[1:] != ["0"]


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._begun_at

    def write(self, event: str, **fields) -> float:
        """Write a line; return its time."""
        at = self.now()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        self._file.flush()
        return at


def free_ports(n: int) -> list[int]:
    """Return ports that are free now, below those of outgoing connections."""
    first = 12_000 + os.getpid() * 331 % 17_000
    found: list[int] = []
    for port in itertools.chain(range(first, 30_000), range(12_000, first)):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(port)
        if len(found) == n:
            return found
    raise CannotRun("no free ports")


class Message:
    """A whole HTTP message."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length, in chunks, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    parts = [line.partition(":") for line in lines]
    headers = {name.strip().lower(): value.strip() for name, _, value in parts}
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", "0"))
        return Message(start, headers, await reader.readexactly(length))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """HTTP/1.1 server that keeps its connections."""

    _all: "list[HttpServer]" = []

    def __init__(self, port: int) -> None:
        self._all.append(self)
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )

    def stop_listening(self) -> None:
        """Close the listener and keep the connections."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        self.stop_listening()
        for writer in tuple(self._writers):
            writer.transport.abort()

    @classmethod
    def stop_all(cls) -> None:
        """Stop all servers that have listened."""
        for server in cls._all:
            server.stop()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*BROKEN):
            while await self.answer(await read_message(reader), writer):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def answer(self, request: Message, writer) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects, revisions and watches."""

    def __init__(self, port: int, record: Record) -> None:
        super().__init__(port)
        self._record = record
        self._revision = 100
        self._objects: dict[tuple[str, str], tuple[int, object, bool]] = {}
        self._changed = asyncio.Event()
        self._version = 0

    def put(self, kind: str, name: str, spec: object, deleted=False) -> dict:
        """Write an object; return it."""
        self._revision += 1
        self._objects[kind, name] = (self._revision, spec, deleted)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._object(kind, name)

    def spec(self, kind: str, name: str) -> object:
        """Return the spec of an object; None when there is none."""
        found = self._objects.get((kind, name))
        return None if found is None or found[2] else found[1]

    def write_configuration(self, routes: list[dict], services: list[str]) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        self._version += 3
        rules = [
            {
                "name": f"r-{route['prefix'].strip('/')}",
                "kind": route["kind"],
                "goal_s": route.get("goal_s", 1.0),
                "priority": route.get("priority", 1),
                "match": {"path_prefix": route["prefix"]},
                "action": {
                    "service": route["service"],
                    "timeout_s": route.get("timeout_s", 4.0),
                    "attempts": route.get("attempts", 2),
                },
            }
            for route in routes
        ]
        self.put(
            "config",
            "main",
            {
                "version": f"r{self._version}",
                "limits": {
                    "header_bytes": 16384,
                    "body_bytes": 67108864,
                    "header_s": 3,
                    "idle_s": 15,
                },
                "listeners": [{"host": HOST, "rules": rules}],
                "clusters": [
                    {"name": name, "health_path": "/health", "max_conns": 1138}
                    for name in services
                ],
            },
        )
        return self._record.write("operator:configuration", version=f"r{self._version}")

    async def answer(self, request, writer):
        """Answer a call."""
        status, body = await self.handle(request)
        head = {"Content-Type": "application/json"}
        writer.write(encode(f"HTTP/1.1 {status} X", head, json.dumps(body).encode()))
        return True

    async def handle(self, request) -> tuple[int, dict]:
        """Return status and body of the answer to a call."""
        method, target, _ = request.start.split()
        path, _, query = target.partition("?")
        options = {key: values[0] for key, values in parse_qs(query).items()}
        _, _, kind, *rest = map(unquote, path.split("/"))
        name = rest[0] if rest else ""
        if method == "GET" and "watch" in options:
            wait_s = int(options.get("wait_ms", 0)) / 1_000
            return 200, await self._watch(kind, int(options["watch"]), wait_s)
        return self._call(method, kind, name, options, request.body)

    def _call(self, method, kind, name, options, body):
        if method == "GET" and not name:
            names = [n for (k, n), o in self._objects.items() if k == kind and not o[2]]
            items = [self._object(kind, name) for name in names]
            return 200, {"items": items, "more": False, "at_rev": self._revision}
        wire = json.loads(body) if body else {"metadata": {}}
        name = name or wire["metadata"]["name"]
        revision, _, deleted = self._objects.get((kind, name), (0, None, True))
        if deleted and method != "POST":
            return 404, {}
        if method == "GET":
            return 200, self._object(kind, name)
        given = int(wire["metadata"].get("rev") or options.get("rev") or 0)
        if not deleted and (method == "POST" or given not in (0, revision)):
            return 409, self._object(kind, name)
        spec = wire.get("spec")
        state = "deleted" if method == "DELETE" else (spec or {}).get("state")
        self._record.write("store:write", name=f"{kind}/{name}", state=state)
        return 200, self.put(kind, name, spec, method == "DELETE")

    async def _watch(self, kind, since, wait_s):
        ends_at = time.monotonic() + wait_s
        while True:
            events = [
                {"deleted": deleted, "object": self._object(of, name)}
                for (of, name), (rev, _, deleted) in self._objects.items()
                if of == kind and rev > since
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"at_rev": self._revision, "events": events}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _object(self, kind: str, name: str) -> dict:
        revision, spec, _ = self._objects[kind, name]
        metadata = {"name": name, "rev": revision, "created": 1}
        metadata |= {"finalizers": [], "deleting": False}
        return {"metadata": metadata, "spec": spec, "status": None}


class StoreDoor(HttpServer):
    """Address at which one machine reaches the store."""

    def __init__(self, store: Store, record: Record, machine: str) -> None:
        super().__init__(free_ports_of(machine, 1)[0])
        self._store = store
        self._record = record
        self.machine = machine
        #: Whether the store leaves the calls of the machine without answers.
        self.is_silent = False
        #: Number of configuration watches that wait.
        self.n_watches = 0

    async def answer(self, request, writer):
        """Pass a call to the store; its answer is lost while the store is silent."""
        method, target, _ = request.start.split()
        is_watch = "/objects/config?" in target and "watch=" in target
        if self.is_silent:
            self._record.write("store:silent", machine=self.machine, call=target)
            await asyncio.Event().wait()
        self.n_watches += is_watch
        try:
            status, body = await self._store.handle(request)
        finally:
            self.n_watches -= is_watch
        if self.is_silent:
            # A connection on which an answer is lost returns nothing further.
            self._record.write("store:answer-lost", machine=self.machine, call=target)
            await asyncio.Event().wait()
        self._record.write("store:answer", machine=self.machine, call=target)
        head = {"Content-Type": "application/json"}
        writer.write(encode(f"HTTP/1.1 {status} X", head, json.dumps(body).encode()))
        return True


class Server(HttpServer):
    """Application server beside a relay."""

    def __init__(self, record, service, port, control, instance, slots=173) -> None:
        super().__init__(port)
        self._record = record
        self._control = control
        self.service, self.instance, self.slots = service, instance, slots
        self.born = int(time.time() * 1_000)
        self.work_s = 0.02
        #: Whether it answers nothing any more and keeps its connections.
        self.is_silent = False
        self.state = "ready"
        self.sequence = 0
        self.n_running = 0
        #: Time and id of each request that arrived without a 421.
        self.arrived: list[tuple[float, str]] = []
        #: Id and path of each request that began to run.
        self.runs: list[tuple[str, str]] = []

    def report(self) -> dict:
        """Return the next liveness report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "midrand",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def send(self, method: str, report: dict | None) -> int:
        """Send a report or a departure; return the status, 0 without an answer."""
        body = json.dumps(report).encode() if report is not None else b""
        what = report["state"] if report is not None else "DELETE"
        host, port = self._control.split(":")
        status = 0
        with contextlib.suppress(*BROKEN):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                with contextlib.closing(writer):
                    start = f"{method} /instances/{self.instance} HTTP/1.1"
                    writer.write(encode(start, {"Host": self._control}, body))
                    status = (await read_message(reader)).status
        seq = report["seq"] if report is not None else "-"
        self._record.write(
            "server:report", instance=self.instance, said=what, seq=seq, status=status
        )
        return status

    async def beat(self) -> None:
        """Send liveness reports until the task is cancelled."""
        while True:
            await self.send("PUT", self.report())
            await asyncio.sleep(BEAT_S)

    async def answer(self, request, writer):
        """Run a request, or reject it."""
        method, path, _ = request.start.split()
        headers = request.headers
        if self.is_silent:
            await asyncio.Event().wait()
        request_id = headers.get("knapweedspring-request-id", "")
        names = {"Knapweedspring-Request-Id": request_id}
        rejected = names | {"Knapweedspring-Not-Executed": "1"}
        expected = headers.get("knapweedspring-expect-instance")
        if expected not in (None, self.instance):
            self._record.write("server:421", instance=self.instance, id=request_id)
            writer.write(encode("HTTP/1.1 421 Misdirected Request", rejected))
            return True
        at = self._record.write(
            "server:arrived", instance=self.instance, id=request_id, path=path
        )
        self.arrived.append((at, request_id))
        if self.n_running >= self.slots:
            writer.write(encode("HTTP/1.1 503 Service Unavailable", rejected))
            return True
        self.runs.append((request_id, path))
        self._record.write(
            "server:run",
            instance=self.instance,
            service=self.service,
            id=request_id,
            method=method,
            path=path,
            caller=headers.get("knapweedspring-caller-service"),
        )
        self.n_running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.n_running -= 1
        if self.is_silent:
            await asyncio.Event().wait()
        sealed = names | {"Knapweedspring-Server-Seal": f"seal.{request_id}"}
        writer.write(encode("HTTP/1.1 200 OK", sealed, request_id.encode() * 4))
        return True


class Relay:
    """One relay process, started with the command of the deploy file."""

    def __init__(self, record, folder, node, zone, service, store, seeds=()) -> None:
        self._record = record
        self.node, self.zone, self.service = node, zone, service
        ports = free_ports_of(node)
        self.addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(PORTS, ports, strict=True)
        }
        self.upstream_port = ports[0]
        self.control = self.addresses["heartbeat_address"]
        self._file = folder / f"{node}.json"
        self._log = folder / f"{node}.log"
        self._first = True
        self._store, self._seeds = store, seeds
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    def write_settings(self) -> None:
        """Write the file that the settings template becomes."""
        settings = self.addresses | {
            "node": self.node,
            "data_centre": self.zone,
            "service": self.service,
            "seed_addresses": list(self._seeds),
            "is_first_start": self._first,
            "store": {"address": self._store},
            "shutdown": {"grace_s": GRACE_S, "drain_s": DRAIN_S},
            "retries": {"ratio": 0.2, "slack": 48, "window_s": 10},
            "vm": {"memory_mb": 300, "n_descriptors": 4100},
            "data_centres": ["midrand", "centurion", "randburg", "germiston"],
            "workspaces": {"in_force_s": CONFIG_S},
        }
        self._file.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._first = False
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | {
            "KNAPWEEDSPRING_NODE_FILE": str(self._file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "knapweedspring_platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_at = self._record.write("relay:started", node=self.node)

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; return its time."""
        self.process.send_signal(number)
        return self._record.write("relay:signal", node=self.node, signal=number.name)

    async def wait_ended(self) -> int:
        """Wait for the end of the process; return its exit code."""
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        code = self.process.returncode
        self._record.write("relay:ended", node=self.node, code=code)
        return code

    async def wait_ready(self, longest_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + longest_s
        while time.monotonic() < ends_at:
            with contextlib.suppress(*BROKEN):
                answer = await call(
                    self.addresses["readiness_address"], "GET", "/readiness", {}, 1.0
                )
                if answer.status == 200:
                    self._record.write("relay:ready", node=self.node)
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.node} is not ready")

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


_ports: list[int] = []


def free_ports_of(_: object, n: int = len(PORTS)) -> list[int]:
    """Return further free ports, none of them twice in this process."""
    if not _ports:
        _ports.extend(free_ports(300))
    taken, _ports[:n] = _ports[:n], []
    return taken


async def call(address, method, path, headers, timeout_s, body=b"") -> Message:
    """Send a request on a new connection and return its answer."""
    host, port = address.split(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.close()


class Client:
    """Client beside a relay; each attempt has its own id."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, relay: Relay) -> None:
        self._record = record
        self._relay = relay
        #: Status by id; 0 for a connection without a whole answer.
        self.statuses: dict[str, int] = {}
        #: Times at which requests were sent and ended, by id.
        self.sent_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}

    async def send(self, method, path, deadline_s=4.0, request_id="") -> int:
        """Send a request; return the status, 0 without a whole answer."""
        request_id = request_id or f"c{next(self._numbers):05d}"
        headers = {
            "Host": HOST,
            "Knapweedspring-Request-Id": request_id,
            "Knapweedspring-Deadline-Ms": f"{deadline_s * 1_000:.0f}",
        }
        body = request_id.encode() if method == "POST" else b""
        self.sent_at[request_id] = self._record.write(
            "client:sent", node=self._relay.node, id=request_id, path=path
        )
        status = 0
        with contextlib.suppress(*BROKEN):
            address = self._relay.addresses["entry_address"]
            answer = await call(
                address, method, path, headers, deadline_s + 1.0, body
            )
            status = answer.status
        self.statuses[request_id] = status
        self.ended_at[request_id] = self._record.write(
            "client:answer", node=self._relay.node, id=request_id, status=status
        )
        return status


def run_case(play, folder: Path) -> None:
    """Play a case and exit: 1 when the rule was broken, 0 when it held, else 2.

    :param play: coroutine function that gets a record, a temporary folder and a list
        to which it adds the relays; returns what broke the rule, in words.
    """
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    relays: list[Relay] = []

    async def run() -> list[str]:
        try:
            async with asyncio.timeout(110):
                return await play(record, temporary, relays)
        finally:
            HttpServer.stop_all()
            for relay in relays:
                relay.kill()
            # Lets the connections close before the event loop does.
            await asyncio.sleep(0.1)

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write("case:cannot-run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
    finally:
        for relay in relays:
            relay.kill()
        if os.environ.get("KEEP_LOGS"):
            for path in temporary.glob("*.log"):
                shutil.copy(path, os.environ["KEEP_LOGS"])
        shutil.rmtree(temporary, ignore_errors=True)
    for text in broken:
        record.write("rule:broken", what=text.replace(" ", "_"))
        print(text)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)

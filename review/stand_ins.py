"""Stand-ins for the cases of the review: store, servers, clients, and started nodes.

They use Python's standard library only and follow PROTOCOL.md. All addresses are
loopback addresses.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
#: Bounds of the small deployment (SYSTEM.md, Boerewors head office).
GRACE_S = 6.0
DRAIN_S = 2.0
CONTACT_S = 3.0
BEAT_S = 1.5


#: Ports below the kernel's range for outgoing connections, which could take a port
#: between its choice and its use. Runs that start together begin at different ports.
_ports = itertools.count(12_000 + os.getpid() * 997 % 16_000)


def free_ports(n):
    """Return ports that are free now; no port is returned twice."""
    found = []
    for port in _ports:
        if len(found) == n:
            return found
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            found.append(port)
    raise AssertionError("no port is free")


class Record:
    """Events of a run, with the time since its start; written to ``record.txt``."""

    def __init__(self, path):
        self._path = Path(path)
        self._began_at = time.monotonic()
        self.lines = []

    def add(self, what, **fields):
        at = time.monotonic() - self._began_at
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{at:8.3f} {what} {text}".rstrip())

    def write(self):
        self._path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Message:
    """An HTTP message: start line, headers with names in lower case, and body."""

    def __init__(self, start, headers, body, is_whole=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers):
    """Read a body; the second value tells whether it is whole."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        try:
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                pieces.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
        except (asyncio.IncompleteReadError, ValueError, OSError):
            return b"".join(pieces), False
        return b"".join(pieces), True
    length = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False


def encode_answer(status, headers, body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpStandIn:
    """An HTTP/1.1 server with one coroutine for each connection."""

    def __init__(self, port):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body, is_whole = await read_body(reader, headers)
                if not is_whole:
                    return
                if not await self.answer(Message(start, headers, body), reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The peer has closed, or the run has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's metadata store: objects, revisions and watches."""

    def __init__(self, port):
        super().__init__(port)
        self._rev = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as the operator does."""
        self._rev += 1
        found = {
            "metadata": {"name": name, "rev": self._rev, "created": 0,
                         "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def spec_of(self, kind, name):
        found = self._objects.get((kind, name))
        return found["spec"] if found else None

    def _note(self, kind, found, deleted):
        self._events.append((self._rev, kind, found, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, request, reader, writer):
        method, target, _ = request.start.split()
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")]
        options = {key: values[0] for key, values in parse_qs(query).items()}
        status, body = await self._handle(method, parts[1:], options, request.body)
        content = json.dumps(body).encode()
        writer.write(encode_answer(status, [("Content-Type", "application/json")], content))
        await writer.drain()
        return True

    async def _handle(self, method, parts, options, body):
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in options:
            return await self._watch(kind, options)
        if method == "GET" and not name:
            items = [o for (k, _), o in self._objects.items() if k == kind]
            return 200, {"items": items, "more": False, "at_rev": self._rev}
        found = self._objects.get((kind, name))
        if method == "GET":
            return (200, found) if found else (404, {})
        wire = json.loads(body) if body else {}
        if method == "POST":
            name = wire["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 201, self.put(kind, name, wire["spec"])
        if found is None:
            return 404, {}
        rev = int(wire.get("metadata", {}).get("rev") or options.get("rev") or 0)
        if rev and rev != found["metadata"]["rev"]:
            return 409, found
        if method == "PUT":
            if wire["spec"] == found["spec"]:
                return 200, found
            return 200, self.put(kind, name, wire["spec"])
        del self._objects[kind, name]
        self._rev += 1
        self._note(kind, found, True)
        return 200, found

    async def _watch(self, kind, options):
        since = int(options["watch"])
        ends_at = time.monotonic() + int(options.get("wait_ms", 0)) / 1_000
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for rev, changed, found, deleted in self._events
                if rev > since and changed == kind
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at_rev": self._rev}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Server(HttpStandIn):
    """An application server beside a node.

    Runs up to ``slots`` requests at a time, queues none, and rejects the others.

    :param work_s: returns how long a request runs, given its id and path.
    """

    def __init__(self, port, name, service, control, record, slots, work_s):
        super().__init__(port)
        self.instance = f"i-{name}-{port}"
        self._service = service
        self._control = control
        self._record = record
        self._slots = slots
        self._work_s = work_s
        self._born_ms = int(time.time() * 1_000)
        self._seq = 0
        self.state = "ready"
        self._beats = None
        self.n_running = 0
        #: Ids of requests at which work began, in this order.
        self.runs = []
        #: Ids of requests at which work ended with an answer.
        self.finished = []
        self.n_answers = 0

    async def start(self):
        await super().start()
        self._beats = asyncio.ensure_future(self._beat_always())

    async def stop(self):
        self.stop_beats()
        await super().stop()

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()

    def beat_body(self, state=None):
        self._seq += 1
        return json.dumps({
            "service": self._service, "address": self.address, "zone": "midrand",
            "version": "v1", "slots": self._slots, "state": state or self.state,
            "cold_left_s": 0, "seq": self._seq, "born": self._born_ms,
        }).encode()

    async def _beat_always(self):
        while True:
            await self.send_beat(self.beat_body())
            await asyncio.sleep(BEAT_S)

    async def send_beat(self, body):
        """Send a report; return whether it was acknowledged."""
        try:
            answer = await asyncio.wait_for(
                call(self._control, "PUT", f"/instances/{self.instance}", [], body), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status // 100 == 2

    async def send_departure(self):
        answer = await call(self._control, "DELETE", f"/instances/{self.instance}", [], b"")
        return answer.status // 100 == 2

    async def answer(self, request, reader, writer):
        method, target, _ = request.start.split()
        rid = request.headers.get("knapweedspring-request-id", "")
        expected = request.headers.get("knapweedspring-expect-instance", self.instance)
        if expected != self.instance:
            self._send(writer, 421, [("Knapweedspring-Request-Id", rid),
                                     ("Knapweedspring-Instance-Id", self.instance)])
            return True
        if self.rejects(rid) or self.n_running >= self._slots:
            self._record.add("server rejects", server=self.instance, id=rid)
            self.send_rejection(writer, rid)
            return True
        self.n_running += 1
        self.runs.append(rid)
        self._record.add("server runs", server=self.instance, id=rid)
        gone = asyncio.ensure_future(_wait_closed(writer))
        work = asyncio.ensure_future(asyncio.sleep(self._work_s(rid, target)))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self._record.add("server drops", server=self.instance, id=rid)
                return False
        finally:
            gone.cancel()
            work.cancel()
            self.n_running -= 1
        self.finished.append(rid)
        self._record.add("server answers", server=self.instance, id=rid)
        self._send(writer, 200, [("Knapweedspring-Request-Id", rid),
                                 ("Knapweedspring-Server-Seal", f"seal-{rid}")],
                   f"done {rid}".encode())
        return True

    def rejects(self, rid):
        """Return whether a request is rejected although a slot is free."""
        return False

    def send_rejection(self, writer, rid):
        self._send(writer, 503, [("Knapweedspring-Request-Id", rid),
                                 ("Knapweedspring-Not-Executed", "1")])

    def _send(self, writer, status, headers, body=b""):
        self.n_answers += 1
        writer.write(encode_answer(status, headers, body))


async def _wait_closed(writer):
    while not writer.transport.is_closing():
        await asyncio.sleep(0.01)


async def call(address, method, target, headers, body):
    """Send one request on a new connection and read its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        start, found = await read_head(reader)
        content, is_whole = await read_body(reader, found)
        return Message(start, found, content, is_whole)
    finally:
        writer.close()


class Outcome:
    """What a client saw of one request.

    ``status`` is 0 when the connection ended without a whole answer, and -1 when the
    client gave up at its deadline.
    """

    def __init__(self, rid, status, at):
        self.rid = rid
        self.status = status
        self.at = at


async def ask(entry, method, path, rid, deadline_s, record, body=b"", headers=()):
    """Send a request as a client does and record what comes back."""
    fields = [("Knapweedspring-Request-Id", rid),
              ("Knapweedspring-Deadline-Ms", int(deadline_s * 1_000)), *headers]
    record.add("client sends", id=rid, path=path)
    try:
        answer = await asyncio.wait_for(
            call(entry, method, path, fields, body), deadline_s + 0.5
        )
        status = answer.status if answer.is_whole else 0
    except TimeoutError:
        status = -1
    except (OSError, asyncio.IncompleteReadError):
        status = 0
    record.add("client gets", id=rid, status=status)
    return Outcome(rid, status, time.monotonic())


def route(name, prefix, kind, service, timeout_s, attempts, priority=0, goal_s=1.5):
    return {
        "name": name, "kind": kind, "goal_s": goal_s, "priority": priority,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout_s": timeout_s, "attempts": attempts},
    }


def configuration(version, rules, services):
    return {
        "version": f"r{version}",
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [{"name": s, "health_path": "/health", "max_conns": 1_000}
                     for s in services],
        "limits": {"header_bytes": 16_384, "body_bytes": 67_108_864, "header_s": 10,
                   "idle_s": 60},
    }


class Node:
    """One node of the project, started with the command of the deploy file."""

    def __init__(self, folder, name, service, store, zone="midrand"):
        (self._upstream, entry, gate, knowledge, control, ready, metrics) = free_ports(7)
        self.name = name
        self.service = service
        self.upstream_port = self._upstream
        self.entry = f"127.0.0.1:{entry}"
        self.control = f"127.0.0.1:{control}"
        self.ready = f"127.0.0.1:{ready}"
        self._file = Path(folder) / f"{name}.json"
        self._log = Path(folder) / f"{name}.log"
        self._process = None
        self.settings = {
            "node": name, "data_centre": zone, "service": service,
            "upstream_address": f"127.0.0.1:{self._upstream}",
            "entry_address": self.entry, "gate_address": f"127.0.0.1:{gate}",
            "knowledge_address": f"127.0.0.1:{knowledge}",
            "heartbeat_address": self.control, "readiness_address": self.ready,
            "metrics_address": f"127.0.0.1:{metrics}", "seed_addresses": [],
            "is_first_start": True, "store": {"address": store},
            "shutdown": {"grace_s": GRACE_S, "drain_s": DRAIN_S},
            "retries": {"ratio": 0.2, "slack": 48, "window_s": 10},
            "data_centres": [zone],
            "workspaces": {"quota_window_s": None, "quota_excess": None,
                           "quota_slack": None, "in_force_s": 2,
                           "refuses_when_stale": None, "stale_after_s": None},
        }

    @property
    def pid(self):
        return self._process.pid

    @property
    def has_ended(self):
        return self._process.poll() is not None

    def start(self):
        self._file.write_text(json.dumps(self.settings), encoding="utf-8")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        kept["KNAPWEEDSPRING_NODE_FILE"] = str(self._file)
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "knapweedspring_platform"],
                cwd=ROOT, env=kept, stdout=log, stderr=log,
            )
        # Only the first start of the whole deployment sets it.
        self.settings["is_first_start"] = False

    def signal(self, number):
        self._process.send_signal(number)

    def kill(self):
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def wait_ready(self, limit_s=15.0):
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            try:
                answer = await asyncio.wait_for(call(self.ready, "GET", "/readiness", [], b""), 1)
                if answer.status == 200:
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after {limit_s} s")

    def log_lines(self):
        lines = []
        for line in self._log.read_text(encoding="utf-8").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"text": line})
        return lines


class Deployment:
    """The store, the nodes and the servers of a case.

    :param record: record of the run.
    :param folder: temporary folder for settings and logs.
    :param nodes: list that gets the started nodes, which the caller ends.
    """

    def __init__(self, record, folder, nodes):
        self.record = record
        self.store = Store(free_ports(1)[0])
        self.nodes = nodes
        self.servers = []
        self._folder = folder

    async def start(self, rules, machines, server_class, slots, work_s,
                    tenants=(), quota_settings=None):
        """Declare the rules, start a node and a server on each machine, and wait.

        :param rules: rules of the configuration.
        :param machines: name, service and zone of each machine.
        :param server_class: class of the servers.
        :param slots: slots of each server.
        :param work_s: see :class:`Server`.
        :param tenants: tenants of the configuration.
        :param quota_settings: settings of the nodes about the tenants' allotments.
        """
        await self.store.start()
        services = list(dict.fromkeys(service for _, service, _ in machines))
        declared = configuration(7, rules, services)
        if tenants:
            declared["tenants"] = list(tenants)
        self.store.put("config", "main", declared)
        zones = list(dict.fromkeys(zone for _, _, zone in machines))
        for name, service, zone in machines:
            node = Node(self._folder, name, service, self.store.address, zone)
            node.settings["data_centres"] = zones
            node.settings["workspaces"].update(quota_settings or {})
            server = server_class(node.upstream_port, name, service, node.control,
                                  self.record, slots, work_s)
            self.nodes.append(node)
            self.servers.append(server)
            node.start()
            await server.start()
        for node in self.nodes:
            await node.wait_ready()
        # Until the nodes know each other and have been in touch for long enough.
        await asyncio.sleep(CONTACT_S + 1.0)

    async def stop(self):
        for server in self.servers:
            await server.stop()
        await self.store.stop()


class CannotRun(Exception):
    """The case could not be set up."""


def run_case(main, folder, trouble):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param main: coroutine function; gets the record, a temporary folder, a list for the
        started nodes and whether to cause the disruption. It returns the broken rules'
        descriptions.
    :param folder: folder of the case.
    :param trouble: value of ``TROUBLE``; "0" leaves the disruption out.
    """
    has_trouble = trouble != "0"
    record = Record(Path(folder) / "record.txt")
    temporary = tempfile.mkdtemp(prefix="case-")
    nodes = []
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, temporary, nodes, has_trouble), 110))
        code = 1 if broken else 0
        for text in broken:
            record.add(f"RULE BROKEN {text}")
            print(text)
    except (CannotRun, TimeoutError, OSError) as error:
        record.add("cannot run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        code = 2
    finally:
        for node in nodes:
            node.kill()
        record.write()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(temporary, ignore_errors=True)
        else:
            print(temporary)
    sys.exit(code)

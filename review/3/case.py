"""An answer whose trailer section has no end takes a node over its memory."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    HOST, Deployment, Server, ask, read_body, read_head, route, run_case,
)

#: Memory of a machine of the site file, in bytes; the platform kills a process that
#: exceeds it and starts it again.
MEMORY_BYTES = 300_000_000
WATCH_PERIOD_S = 0.02
RESTART_DELAY_S = 0.5
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
#: Dose of the site file for ``garble``: share of the answers that are spoiled.
SPOILED_SHARE = 0.03
#: Times for which a lookup and an order run, and their deadline, in seconds.
LOOKUP_S = 0.09
ORDER_S = 0.5
DEADLINE_S = 5.0
N_LOOKUPS = 60
N_CLIENTS = 16
TRAFFIC_S = 12.0
#: Requests without an answer that the rule allows.
ALLOWED = 3
TRAILERS = b"".join(b"X-Part-%d: %b\r\n" % (n, b"v" * 200) for n in range(256))


class RecipeServer(Server):
    """A server that sends one answer whose trailer section has no end."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_faulty = False
        self.n_spoiled = self.n_bytes = 0

    async def answer(self, request, reader, writer):
        n_answers = self.n_answers + 1
        if not self.is_faulty or self.n_spoiled or SPOILED_SHARE * n_answers < 1:
            return await super().answer(request, reader, writer)
        rid = request.headers.get("knapweedspring-request-id", "")
        self.n_spoiled += 1
        self.n_answers += 1
        self.runs.append(rid)
        self._record.add("server sends an answer without end", server=self.instance, id=rid)
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            b"Knapweedspring-Request-Id: " + rid.encode() + b"\r\n"
            b"Knapweedspring-Server-Seal: seal\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n"
        )
        try:
            while not writer.transport.is_closing():
                writer.write(TRAILERS)
                self.n_bytes += len(TRAILERS)
                await writer.drain()
        except ConnectionError:
            pass
        self._record.add("its connection was closed", server=self.instance,
                         sent_bytes=self.n_bytes)
        return False


class Client:
    """A client that sends orders one after another on a connection that it keeps."""

    def __init__(self, entry, number, record):
        self._entry = entry
        self._number = number
        self._record = record
        self._reader = self._writer = None
        #: Ids of orders on a kept connection that ended without an answer.
        self.unanswered = []
        self.n_answered = 0

    async def run(self, ends_at):
        for count in itertools.count():
            if time.monotonic() > ends_at:
                break
            await self._order(f"order-{self._number}-{count}")
        self._close()

    async def _order(self, rid):
        is_kept = self._writer is not None
        body = b"two boxes"
        try:
            if not is_kept:
                host, port = self._entry.rsplit(":", 1)
                self._reader, self._writer = await asyncio.open_connection(host, int(port))
            self._writer.write(
                f"POST /order/{rid} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Knapweedspring-Request-Id: {rid}\r\n"
                f"Knapweedspring-Deadline-Ms: {int(DEADLINE_S * 1_000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            start, headers = await asyncio.wait_for(read_head(self._reader), DEADLINE_S + 1)
            await read_body(self._reader, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.add("client gets no answer", id=rid, kept=is_kept,
                             error=type(error).__name__)
            if is_kept and not isinstance(error, TimeoutError):
                self.unanswered.append(rid)
            self._close()
            await asyncio.sleep(0.3)
            return
        self.n_answered += 1
        self._record.add("client gets", id=rid, status=start.split()[1])
        if headers.get("connection", "").lower() == "close":
            self._close()

    def _close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def resident_bytes(pid):
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


async def watch_memory(nodes, record, killed):
    """Kill processes over their memory and start them again, as the platform does."""
    noted = {}
    while True:
        for node in nodes:
            if node.has_ended:
                continue
            n_bytes = resident_bytes(node.pid)
            if n_bytes > noted.get(node.name, 0) + 20_000_000:
                noted[node.name] = n_bytes
                record.add("memory", node=node.name, mb=n_bytes // 1_000_000)
            if n_bytes > MEMORY_BYTES:
                node.kill()
                killed.append(node.name)
                record.add("killed for its memory", node=node.name, mb=n_bytes // 1_000_000)
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
        await asyncio.sleep(WATCH_PERIOD_S)


async def main(record, folder, nodes, has_trouble):
    deployment = Deployment(record, folder, nodes)
    rules = [
        route("recipe-lookup", "/recipe/", "idempotent", "recipes", DEADLINE_S, 2, 2),
        route("spice-order", "/order/", "non_idempotent", "orders", DEADLINE_S, 2),
    ]
    machines = [("side-1", "recipes", "midrand"), ("side-2", "orders", "midrand"),
                ("side-3", "orders", "midrand")]
    await deployment.start(
        rules, machines, RecipeServer, 40,
        lambda rid, target: ORDER_S if "order" in target else LOOKUP_S,
    )
    servers = deployment.servers
    faulty, entry = servers[0], nodes[0].entry
    killed = []
    watcher = asyncio.ensure_future(watch_memory(nodes, record, killed))

    clients = [Client(entry, number, record) for number in range(N_CLIENTS)]
    ends_at = time.monotonic() + TRAFFIC_S
    tasks = [asyncio.ensure_future(client.run(ends_at)) for client in clients]
    await asyncio.sleep(1.0)
    faulty.is_faulty = has_trouble
    for number in range(N_LOOKUPS):
        rid = f"lookup-{number}"
        tasks.append(asyncio.ensure_future(
            ask(entry, "GET", f"/recipe/{rid}", rid, DEADLINE_S, record)
        ))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    watcher.cancel()

    runs = {rid for server in servers[1:] for rid in server.runs}
    unanswered = [rid for client in clients for rid in client.unanswered]
    lost = [rid for rid in unanswered if rid in runs]
    record.add("orders", answered=sum(client.n_answered for client in clients),
               unanswered=len(unanswered), of_these_at_sound_servers=len(lost))
    record.add("doses", server=faulty.instance, answers=faulty.n_answers,
               spoiled=faulty.n_spoiled, bytes=faulty.n_bytes)
    broken = []
    if len(lost) > ALLOWED:
        broken.append(f"LOST: {len(lost)} orders ({ALLOWED} allowed) were passed on from kept "
                      "connections to sound servers, and the connections ended without an "
                      f"answer; processes killed for their memory: {killed}")
    await deployment.stop()
    return broken


if __name__ == "__main__":
    run_case(main, FOLDER, sys.argv[1])

"""Both ends of the calls between nodes: a listener with a scripted gate, and a pool."""

import asyncio
import contextlib

from _deployment import IgnoredQuotas

from knapweedspring_relay import CallKind
from knapweedspring_relay._answer import Answer
from knapweedspring_relay._gate_link import LocalGate
from knapweedspring_relay._gate_result import GateResult
from knapweedspring_relay._hop import GateReport, HopCall, HopOutcome
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._hop_listener import HopListener
from knapweedspring_relay._knowledge import FollowHandler
from knapweedspring_relay._memory_budget import (
    CONNECTION_BYTES,
    BudgetLimits,
    MemoryBudget,
)
from knapweedspring_relay._requests import ForwardedRequest


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def make_call(request_id="r", left_s=2.0):
    return HopCall(
        request_id, "svc", "i", left_s, 1, 1, CallKind.IDEMPOTENT, "route", "caller", 3
    )


def make_request(target=b"/", body=b""):
    return ForwardedRequest(b"GET", target, b"host: h\r\n", body)


def make_report(outcome=HopOutcome.ANSWERED, reason=""):
    return GateReport(outcome, reason, 0, 0, 1, 0.0, 0.0, 3, "i")


class ScriptedGate(LocalGate):
    """Runs a script for each call instead of calling an upstream."""

    def __init__(self, script):
        self.script = script
        self.n_cancelled = 0

    async def run(self, call, request):
        try:
            return await self.script(call, request)
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise

    def make_report(self, outcome, reason="", waited_s=0.0):
        return make_report(outcome, reason)


def complete_answer(body):
    answer = Answer(200, [(b"x-seal", b"s")], asyncio.get_running_loop())
    answer.add(body)
    answer.complete()
    return GateResult(make_report(), answer)


def budget_of(max_bytes):
    """Return a budget of a number of bytes."""
    return MemoryBudget(BudgetLimits(max_bytes, max_bytes, 1_000))


def n_held_bytes(budget):
    """Return what peers hold besides their connections, in bytes."""
    return budget.n_bytes - CONNECTION_BYTES * budget.n_connections


class IgnoredFollowers(FollowHandler):
    def add(self, follower, request):
        raise AssertionError("no test follows the listener")

    def remove(self, follower):
        pass


@contextlib.asynccontextmanager
async def hop(script, budget=None):
    """Starts a listener with a scripted gate, and creates a pool that calls it."""
    errors = []
    gate = ScriptedGate(script)
    listener = HopListener(
        "127.0.0.1:0",
        gate,
        IgnoredFollowers(),
        IgnoredQuotas(),
        lambda _: None,
        lambda _: None,
        lambda *error: errors.append(error),
        budget,
    )
    await listener.start()
    port = listener._server.sockets[0].getsockname()[1]
    pool = HopPool(HopSettings(connect_s=0.5, unacknowledged_s=1.0))
    try:
        yield pool, f"127.0.0.1:{port}", gate, listener, errors
    finally:
        pool.close()
        listener.close()

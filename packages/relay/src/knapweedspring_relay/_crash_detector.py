"""Detects that the upstream ended while it was running requests."""

import asyncio
from collections.abc import Callable

from knapweedspring_core import Counters
from knapweedspring_relay._http_client import ConnectionPool
from knapweedspring_relay._local_upstream import LocalUpstream
from knapweedspring_relay._logs import DecisionLog

__all__ = ["CrashDetector"]

#: Time after a connection broke at which the upstream is checked, in seconds. The
#: connections of a process that ends break within a few milliseconds.
CHECK_DELAY_S = 0.02
#: Maximum number of broken requests that are kept for a check, more than an upstream
#: usually runs at the same time.
MAX_BROKEN = 512


class CrashDetector:
    """Distinguishes an upstream that ended from one that broke off single answers.

    When the connection of a running request breaks, the upstream is checked with a new
    connection. If that is refused, the process has ended, and each request whose
    connection broke meanwhile may be the cause.

    :param pool: connections to the upstream.
    :param address: address of the upstream, as ``ip:port``.
    :param on_crash: called with the process that ended and the fingerprints of the
        requests that it was running.
    :param log: decision log.
    :param counters: counts the checks by result.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        on_crash: Callable[[LocalUpstream, tuple[bytes, ...]], None],
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._pool = pool
        self._address = address
        self._on_crash = on_crash
        self._log = log
        self._counters = counters
        self._broken: dict[bytes, None] = {}
        self._check: asyncio.Task[None] | None = None

    def record_broken(
        self, upstream: LocalUpstream, fingerprint: bytes
    ) -> "asyncio.Task[None]":
        """Record that the connection of a running request broke.

        :param upstream: the process that was running the request.
        :param fingerprint: fingerprint of the request.
        :return: the check of the upstream, which reports a crash before it ends.
        """
        if len(self._broken) < MAX_BROKEN:
            self._broken[fingerprint] = None
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._check_upstream(upstream))
        return self._check

    async def _check_upstream(self, upstream: LocalUpstream) -> None:
        try:
            await asyncio.sleep(CHECK_DELAY_S)
            has_ended = await self._pool.refuses_connections(self._address)
        finally:
            broken, self._broken = tuple(self._broken), {}
            self._check = None
        self._counters.add("upstream_checks", "ended" if has_ended else "runs")
        if has_ended:
            self._log.write_state(
                "upstream:ended",
                instance=upstream.instance,
                n_running=len(broken),
                fingerprints=[fingerprint.hex() for fingerprint in broken[:8]],
            )
            self._on_crash(upstream, broken)

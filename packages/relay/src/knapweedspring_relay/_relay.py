"""One relay process: its components, start, reload of settings and shutdown."""

import asyncio
import gc
import random
import signal
from pathlib import Path

from result import Err

from knapweedspring_core import Counters, MetricsPage
from knapweedspring_relay._adapter import DeploymentAdapter, HeartbeatReceiver
from knapweedspring_relay._allocator import map_long_buffers
from knapweedspring_relay._call_path import (
    PEER_CONNECT_TIMEOUT_S,
    UNACKNOWLEDGED_S,
    CallPathObservers,
    Recording,
    make_call_path,
)
from knapweedspring_relay._clock import now_s, suspension_meter
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._event_reporter import EventReporter
from knapweedspring_relay._gauges import register_gauges
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._hop_listener import HopListener
from knapweedspring_relay._http_client import ConnectionPool, ConnectionSettings
from knapweedspring_relay._http_server import HttpListener, RequestHandler
from knapweedspring_relay._knowledge import (
    ControlHandler,
    GateEntry,
    Knowledge,
    PeerPageHandler,
)
from knapweedspring_relay._leaving_announcer import LeavingAnnouncer
from knapweedspring_relay._local_upstream import (
    Heartbeat,
    HeartbeatVerdict,
    LocalUpstream,
    UpstreamTracker,
    published_upstream,
)
from knapweedspring_relay._logs import DecisionLog, LineBuffer
from knapweedspring_relay._memory_budget import BudgetLimits, MemoryBudget
from knapweedspring_relay._planned_stop import PlannedStop, shutdown_times
from knapweedspring_relay._readiness import MetricsHandler, ReadinessHandler
from knapweedspring_relay._settings import RelaySettings
from knapweedspring_relay._task_supervisor import TaskSupervisor
from knapweedspring_relay._timers import LoopTimers
from knapweedspring_relay._upstream_end import UpstreamEnd
from knapweedspring_relay._upstream_process import UpstreamProcess

__all__ = ["Relay"]

#: Idle time after which a connection to a peer's page is not reused, in seconds.
PEER_IDLE_S = 5.0
#: Periods of the timers, in seconds.
DRAIN_CHECK_PERIOD_S = 0.2
LOG_FLUSH_PERIOD_S = 0.25
SUSPENSION_CHECK_PERIOD_S = 0.2
HOP_CHECK_PERIOD_S = 0.1
HOUSEKEEPING_PERIOD_S = 1.0
#: Time in which a heartbeat must confirm the upstream that was published before a
#: restart, in seconds: more than one period of heartbeats, and less than the time for
#: which an upstream that left without draining continues to serve.
ASSUMED_TIMEOUT_S = 2.0
#: Container allocations between two runs of the garbage collector.
GC_THRESHOLD = 20_000


class Relay(HeartbeatReceiver):
    """The components of one relay process.

    :param settings: validated settings.
    :param adapter: what the deployment's adapter supplies.
    :param counters: the process's counters.
    :param log_lines: buffer of the log lines.
    """

    def __init__(
        self,
        settings: RelaySettings,
        adapter: DeploymentAdapter,
        counters: Counters,
        log_lines: LineBuffer,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._counters = counters
        self._log_lines = log_lines
        self._rng = random.Random()
        self._log = DecisionLog(settings.node, counters)
        self._reporter = EventReporter(adapter.headers.request_id, self._log, counters)
        self._latencies = LatencyHistograms()
        self._tracker = UpstreamTracker(settings.upstream_address)
        self._supervisor = TaskSupervisor(self._log, counters)
        self._timers = LoopTimers(self._reporter.report_timer_error)
        self._stopping = asyncio.Event()
        self._started_at = now_s()
        self._stop_at: float | None = None
        self._planned_stop: PlannedStop | None = None
        self._settings_mtime = 0.0
        self._peer_pool = ConnectionPool(
            ConnectionSettings(PEER_CONNECT_TIMEOUT_S, PEER_IDLE_S, UNACKNOWLEDGED_S)
        )
        self._crashes = CrashRecords(self._reporter.report_refused_request)
        self._knowledge = Knowledge(
            settings=settings,
            crashes=self._crashes,
            store=adapter.store,
            pool=self._peer_pool,
            desired_entry=self._desired_entry,
            on_previous_entry=self._assume_published,
            on_directory_change=self._handle_directory_change,
            unreachable_duration_s=self._unreachable_duration_s,
            rng=self._rng,
            log=self._log,
            counters=counters,
        )
        self._budget = MemoryBudget(
            BudgetLimits.of_vm(
                settings.vm.memory_or_default_bytes,
                settings.vm.n_descriptors_or_default,
            )
        )
        self._declared_state = self._knowledge.state
        self._directory = self._knowledge.directory
        self._leaving = LeavingAnnouncer(
            settings.node, self._tracker, self._knowledge, self._supervisor, self._log
        )
        self._make_call_path()
        self._make_listeners()

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts calls from callers."""
        return self._knowledge.is_known and self._stop_at is None

    def _make_call_path(self) -> None:
        self._path = path = make_call_path(
            self._settings,
            self._adapter,
            self._knowledge,
            self._tracker,
            self._crashes,
            CallPathObservers(self._apply_leaving, self._handle_crash),
            Recording(self._log, self._counters, self._latencies),
            self._rng,
        )
        self._gate, self._entry = path.gate, path.entry
        self._upstream_end = UpstreamEnd(self._tracker, path.upstream_pool)

    def _make_listeners(self) -> None:
        settings, pages = self._settings, self._knowledge.pages
        self._metrics = MetricsPage(self._counters)
        register_gauges(self._metrics, self._path, self._crashes, self._budget)
        self._knowledge.register_gauges(self._metrics)
        self._latencies.register(self._metrics)
        budget = self._budget
        self._entry_listener = HttpListener(settings.entry_address, self._entry, budget)
        self._gate_listener = HopListener(
            settings.gate_address,
            self._gate,
            self._knowledge.followers,
            self._path.quotas.handler,
            self._declared_state.observe_version,
            self._path.crash_exchange.receive,
            self._reporter.report_hop_error,
            budget,
        )
        self._gate_listener.on_ended(self._reporter.report_ended_call)
        handlers: tuple[tuple[str, RequestHandler], ...] = (
            (settings.knowledge_address, PeerPageHandler(pages)),
            (
                settings.heartbeat_address,
                ControlHandler(self._adapter.heartbeat_handler(self), pages),
            ),
            (
                settings.readiness_address,
                ReadinessHandler(self._adapter.readiness_path, lambda: self.is_ready),
            ),
            (settings.metrics_address, MetricsHandler(self._metrics)),
        )
        self._other_listeners = tuple(
            HttpListener(address, handler, budget) for address, handler in handlers
        )
        for listener in self._http_listeners:
            listener.on_error(self._reporter.report_handler_error)
            listener.on_ended(self._reporter.report_ended_connection)

    @property
    def _listeners(self) -> tuple[HttpListener | HopListener, ...]:
        return (self._gate_listener, *self._http_listeners)

    @property
    def _http_listeners(self) -> tuple[HttpListener, ...]:
        return (self._entry_listener, *self._other_listeners)

    async def run(self) -> None:
        """Serve until a stop signal, then shut down gracefully.

        :raises OSError: when an address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._settings_mtime = self._read_mtime()
        for listener in self._listeners:
            await listener.start()
        self._start_timers()
        self._log.write_state(
            "process:started",
            service=self._settings.service,
            data_centre=self._settings.data_centre,
            entry=self._settings.entry_address,
            gate=self._settings.gate_address,
            memory_mb=self._settings.vm.memory_or_default_bytes // 1_000_000,
            n_descriptors=self._settings.vm.n_descriptors_or_default,
            maps_long_buffers=map_long_buffers(),
        )
        if not self._settings.is_first_start:
            self._tracker.record_restart(now_s())
        self._supervisor.start("own entry", self._run_own_entry)
        self._knowledge.start(self._supervisor, self._timers)
        self._path.quotas.start(self._timers)
        # Objects created so far live as long as the process, so the collector need
        # not traverse them again; calls create few reference cycles.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        await self._stopping.wait()
        await self._shut_down()

    def stop(self) -> None:
        """Begin the shutdown.

        From now on the node is not ready, and each caller's connection is closed after
        the next answer on it.
        """
        if self._stop_at is not None:
            return
        self._stop_at = now_s()
        self._log.write_state("process:stopping", n_running=self._gate.n_running)
        self._entry_listener.drain()
        times = shutdown_times(
            self._stop_at, self._settings.shutdown.grace_or_default_s
        )
        self._entry.begin_shutdown(times)
        self._planned_stop = PlannedStop(
            times, self._entry, self._gate, self._entry_listener, self._gate_listener
        )
        self._supervisor.start("upstream end", self._withdraw_after_upstream)
        self._knowledge.own_entry.request_check()
        self._knowledge.leave()
        self._stopping.set()

    def apply_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatVerdict:
        """Apply a heartbeat of the upstream; see :class:`HeartbeatReceiver`."""
        table = self._declared_state.table
        service_known = (
            heartbeat.service == self._settings.service
            or table is None
            or table.service(heartbeat.service) is not None
        )
        if not service_known:
            verdict = HeartbeatVerdict.FOREIGN
        else:
            verdict = self._tracker.apply_heartbeat(heartbeat, now_s())
        if verdict is not HeartbeatVerdict.UNCHANGED:
            self._log.write_state(
                "upstream:heartbeat",
                instance=heartbeat.instance,
                service=heartbeat.service,
                state=heartbeat.state.value,
                sequence=heartbeat.sequence,
                born_ms=heartbeat.born_ms,
                verdict=verdict.value,
            )
        self._handle_upstream_verdict(verdict)
        return verdict

    def apply_departure(self, instance: str) -> HeartbeatVerdict:
        """Apply the departure of the upstream; see :class:`HeartbeatReceiver`."""
        verdict = self._tracker.apply_departure(instance, now_s())
        self._log.write_state(
            "upstream:departure", instance=instance, verdict=verdict.value
        )
        if verdict is HeartbeatVerdict.LATE:
            # The stored entry may be one of the process that departed.
            self._learn_from_directory()
            self._knowledge.own_entry.request_check()
        self._handle_upstream_verdict(verdict)
        return verdict

    async def wait_published(self) -> None:
        """Wait until the store has the state; see :class:`HeartbeatReceiver`."""
        await self._leaving.wait_published()

    def _apply_leaving(self, process: LocalUpstream) -> None:
        """Close the gate for an upstream whose answer says that it leaves."""
        verdict = self._tracker.apply_leaving(process, now_s())
        if verdict is HeartbeatVerdict.CHANGED:
            self._log.write_state("upstream:leaving", instance=process.instance)
        self._handle_upstream_verdict(verdict)

    def _handle_crash(
        self, process: LocalUpstream, fingerprints: tuple[bytes, ...]
    ) -> None:
        node = self._settings.node
        self._path.crash_exchange.report(
            UpstreamProcess(node, process.instance, process.born_ms), fingerprints
        )

    def reject_heartbeat(self, reason: str) -> None:
        """Log a heartbeat that cannot be decoded."""
        self._log.write_state("upstream:rejected", reason=reason)

    def _handle_upstream_verdict(self, verdict: HeartbeatVerdict) -> None:
        if verdict is HeartbeatVerdict.CHANGED:
            self._leaving.announce()
            self._gate.apply_upstream_state(now_s())
            self._path.upstream_pool.close_idle(self._settings.upstream_address)
            self._knowledge.own_entry.request_check()
        elif verdict is HeartbeatVerdict.UNCHANGED:
            self._gate.apply_upstream_state(now_s())

    def _desired_entry(self) -> GateEntry | None:
        upstream = self._tracker.current
        if upstream is None:
            # An entry of an earlier process tells the next one of this node of a
            # leaving; only a node that stops has no use for it.
            is_stopping = self._stop_at is not None
            return None if is_stopping else self._knowledge.own_entry.stored_entry
        if self._withdraws_entry(upstream):
            return None
        return GateEntry(
            node=self._settings.node,
            gate_address=self._settings.gate_address,
            knowledge_address=self._settings.knowledge_address,
            data_centre=self._settings.data_centre,
            service=upstream.service,
            instance=upstream.instance,
            born_ms=upstream.born_ms,
            slots=upstream.slots,
            state=upstream.state,
        )

    def _withdraws_entry(self, upstream: LocalUpstream) -> bool:
        """Return whether node and upstream are both gone soon.

        An upstream that leaves may serve for many seconds, and the node may be started
        again beside it: the entry then tells the next process of the leaving.
        """
        is_stopping = self._stop_at is not None
        return is_stopping and not upstream.is_ready and self._upstream_end.has_ended

    async def _withdraw_after_upstream(self) -> None:
        await self._upstream_end.wait()
        self._knowledge.own_entry.request_check()

    async def _run_own_entry(self) -> None:
        own_entry = self._knowledge.own_entry
        if self._settings.is_first_start:
            own_entry.assume_absent()
        else:
            await own_entry.read_stored()
        await own_entry.run()

    def _assume_published(self, previous: GateEntry) -> None:
        """Restore the upstream published before a restart until the next heartbeat.

        Once the time for a heartbeat is over, the node restores it only if it leaves.
        """
        is_own = previous.gate_address == self._settings.gate_address
        if not is_own or previous.service != self._settings.service:
            return
        now = now_s()
        is_in_time = now - self._started_at <= ASSUMED_TIMEOUT_S
        verdict = self._tracker.assume_published(
            published_upstream(previous, now), now, may_be_ready=is_in_time
        )
        if verdict is HeartbeatVerdict.CHANGED:
            self._log.write_state(
                "upstream:assumed",
                instance=previous.instance,
                state=previous.state.value,
            )
            loop = asyncio.get_running_loop()
            loop.call_later(ASSUMED_TIMEOUT_S, self._drop_unconfirmed)
        self._handle_upstream_verdict(verdict)

    def _learn_from_directory(self) -> None:
        """Use what other nodes know of a leaving of the upstream.

        They still list the entry of the previous process of this node while the store
        does not return it. That the upstream is ready counts from the store only.
        """
        node, now = self._settings.node, now_s()
        for process in self._directory.leavings.of_node(node):
            verdict = self._tracker.apply_known_leaving(
                process.instance, process.born_ms, now
            )
            if verdict is HeartbeatVerdict.CHANGED:
                self._log.write_state("upstream:leaving", instance=process.instance)
                self._handle_upstream_verdict(verdict)
        listed = self._directory.listed_entry(node)
        if listed is None or listed.gate_address != self._settings.gate_address:
            return
        verdict = self._tracker.assume_published(
            published_upstream(listed, now), now, may_be_ready=False
        )
        if verdict is HeartbeatVerdict.CHANGED:
            self._log.write_state("upstream:leaving", instance=listed.instance)
        self._handle_upstream_verdict(verdict)

    def _drop_unconfirmed(self) -> None:
        if self._tracker.drop_unconfirmed():
            self._log.write_state("upstream:unconfirmed", after_s=ASSUMED_TIMEOUT_S)

    def _handle_directory_change(self) -> None:
        self._learn_from_directory()
        self._path.budget.set_n_nodes(self._directory.n_nodes)
        self._path.quotas.update_entries()

    def _unreachable_duration_s(self, node: str, now: float) -> float:
        return self._path.balancer.unreachable_duration_s(node, now)

    def _start_timers(self) -> None:
        self._timers.call_every(DRAIN_CHECK_PERIOD_S, self._gate.expire_queued_calls)
        self._timers.call_every(LOG_FLUSH_PERIOD_S, self._log_lines.flush)
        self._timers.call_every(SUSPENSION_CHECK_PERIOD_S, self._check_suspension)
        self._timers.call_every(
            HOP_CHECK_PERIOD_S, self._path.hop_pool.check_connections
        )
        self._timers.call_every(HOUSEKEEPING_PERIOD_S, self._run_housekeeping)

    def _check_suspension(self) -> None:
        length_s = suspension_meter.check()
        if length_s > 0.0:
            self._log.write_state("process:suspended", length_s=round(length_s, 3))

    def _run_housekeeping(self) -> None:
        for listener in self._http_listeners:
            listener.close_expired()
        self._path.upstream_pool.close_expired()
        self._peer_pool.close_expired()
        for node in self._knowledge.expire_missing(now_s()):
            self._path.balancer.remove_node(node)
            self._log.write_state("directory:dropped", entry=node)
        mtime = self._read_mtime()
        if mtime != self._settings_mtime:
            self._settings_mtime = mtime
            self._reload()

    def _read_mtime(self) -> float:
        try:
            return Path(self._adapter.settings_file).stat().st_mtime
        except OSError:
            # The settings file is being replaced; the next check sees the new file.
            return self._settings_mtime

    def _reload(self) -> None:
        """Apply changed settings; changed addresses apply only at the next start."""
        read = self._adapter.read_settings()
        if isinstance(read, Err):
            self._log.write_state("process:reload-refused", reason=str(read.err_value))
            return
        self._settings = settings = read.ok_value
        self._path.apply_settings(settings)
        self._log.write_state("process:reloaded", service=settings.service)

    async def _shut_down(self) -> None:
        """Finish the work of the node, then close everything."""
        assert self._stop_at is not None and self._planned_stop is not None
        await self._planned_stop.finish_requests()
        self._log.write_state(
            "process:ended",
            n_cut=self._planned_stop.n_unfinished,
            after_s=round(now_s() - self._stop_at, 2),
        )
        self._supervisor.stop()
        self._path.crash_exchange.stop()
        self._knowledge.stop()
        self._path.quotas.stop()
        self._adapter.store.close()
        for listener in self._listeners:
            listener.close()
        # Gives the connections being closed time to send their remaining bytes.
        await asyncio.sleep(0.05)
        self._log_lines.flush()

"""The components that a request passes through on one node."""

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from knapweedspring_core import Counters
from knapweedspring_relay._adapter import DeploymentAdapter
from knapweedspring_relay._balancer import Balancer
from knapweedspring_relay._call_recorder import CallRecorder
from knapweedspring_relay._crash_exchange import CrashExchange
from knapweedspring_relay._crash_records import CrashRecords
from knapweedspring_relay._destination_splitter import DestinationSplitter
from knapweedspring_relay._entry import Entry
from knapweedspring_relay._entry_settings import NodeIdentity
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._histograms import LatencyHistograms
from knapweedspring_relay._hop_client import HopPool, HopSettings
from knapweedspring_relay._http_client import ConnectionPool, ConnectionSettings
from knapweedspring_relay._knowledge import Knowledge
from knapweedspring_relay._local_upstream import LocalUpstream, UpstreamTracker
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._quotas import Quotas
from knapweedspring_relay._retry_budget import RetryBudget
from knapweedspring_relay._settings import RelaySettings
from knapweedspring_relay._workspace_access import WorkspaceAccess

__all__ = [
    "PEER_CONNECT_TIMEOUT_S",
    "UNACKNOWLEDGED_S",
    "CallPath",
    "CallPathObservers",
    "Recording",
    "make_call_path",
]

#: Timeouts for establishing a connection, in seconds: several round trips between data
#: centres of a region.
UPSTREAM_CONNECT_TIMEOUT_S = 1.0
PEER_CONNECT_TIMEOUT_S = 0.4
#: Idle time after which a connection to the upstream is not reused, in seconds, unless
#: it states a shorter time.
UPSTREAM_IDLE_S = 4.0
#: Time for which sent bytes may stay unacknowledged before a connection counts as
#: dead, in seconds.
UNACKNOWLEDGED_S = 1.0


@dataclass(frozen=True, slots=True)
class CallPathObservers:
    """Functions that are called when an upstream shows that it ends."""

    #: Called with the upstream when one of its answers says that it leaves.
    on_leaving: Callable[[LocalUpstream], None]
    #: Called with the upstream that crashed and the fingerprints of the requests that
    #: it was running.
    on_crash: Callable[[LocalUpstream, tuple[bytes, ...]], None]


@dataclass(frozen=True, slots=True)
class Recording:
    """Where a node records what it decides."""

    #: Decision log.
    log: DecisionLog
    #: Counters of the process.
    counters: Counters
    #: Latencies of calls.
    latencies: LatencyHistograms


@dataclass(frozen=True, slots=True)
class CallPath:
    """The components of one node that requests pass through."""

    #: Connections to the upstream.
    upstream_pool: ConnectionPool
    #: Connections to other nodes.
    hop_pool: HopPool
    #: Tells other nodes of crashes.
    crash_exchange: CrashExchange
    #: Admits calls to the upstream.
    gate: Gate
    #: Limits the retries of this node.
    budget: RetryBudget
    #: Selects gates.
    balancer: Balancer
    #: Limits the requests of workspaces.
    quotas: Quotas
    #: Decides whether keys allow routes.
    access: WorkspaceAccess
    #: Receives callers' requests.
    entry: Entry

    def apply_settings(self, settings: RelaySettings) -> None:
        """Apply changed settings; addresses stay as they are.

        :param settings: validated settings.
        """
        self.entry.set_identity(_node_identity(settings))
        retries = settings.retries
        self.budget.set_limits(
            retries.ratio_or_default,
            retries.slack_or_default,
            retries.window_or_default_s,
        )
        self.quotas.set_rules(settings.quota_rules)
        self.access.set_rules(settings.workspaces.access_rules)


def make_call_path(
    settings: RelaySettings,
    adapter: DeploymentAdapter,
    knowledge: Knowledge,
    tracker: UpstreamTracker,
    crashes: CrashRecords,
    observers: CallPathObservers,
    recording: Recording,
    rng: random.Random,
) -> CallPath:
    """Make the components and connect them.

    :param settings: validated settings.
    :param adapter: what the deployment's adapter supplies.
    :param knowledge: configuration and directory.
    :param tracker: tracks the state of the upstream.
    :param crashes: requests that are refused because upstreams ended under them.
    :param observers: called when an upstream shows that it ends.
    :param recording: where decisions are recorded.
    :param rng: source of all random choices.
    """
    headers, state, directory = adapter.headers, knowledge.state, knowledge.directory
    log, counters, latencies = recording.log, recording.counters, recording.latencies
    upstream_pool = ConnectionPool(
        ConnectionSettings(
            connect_s=UPSTREAM_CONNECT_TIMEOUT_S,
            idle_s=UPSTREAM_IDLE_S,
            unacknowledged_s=UNACKNOWLEDGED_S,
            request_id_header=headers.request_id,
        )
    )
    hop_pool = HopPool(HopSettings(PEER_CONNECT_TIMEOUT_S, UNACKNOWLEDGED_S))
    gate = Gate(
        tracker=tracker,
        address=settings.upstream_address,
        pool=upstream_pool,
        headers=headers,
        drain_s=settings.shutdown.drain_or_default_s,
        version=lambda: state.version,
        on_leaving=observers.on_leaving,
        crashes=crashes,
        on_crash=observers.on_crash,
        log=log,
        counters=counters,
        latencies=latencies,
    )
    budget = RetryBudget(
        settings.retries.ratio_or_default,
        settings.retries.slack_or_default,
        settings.retries.window_or_default_s,
        counters,
    )
    balancer = Balancer(directory, settings.data_centre, rng)
    quotas = Quotas(
        settings.node,
        settings.data_centre,
        settings.quota_rules,
        state,
        directory,
        log,
        counters,
    )
    access = WorkspaceAccess(
        headers,
        lambda: state.table,
        knowledge.freshness,
        settings.workspaces.access_rules,
    )
    entry = Entry(
        identity=_node_identity(settings),
        headers=headers,
        table=lambda: state.table,
        balancer=balancer,
        gate=gate,
        pool=hop_pool,
        budget=budget,
        splitter=DestinationSplitter(zlib.crc32(settings.node.encode())),
        on_peer_version=state.observe_version,
        crashes=crashes,
        access=access,
        quotas=quotas,
        recorder=CallRecorder(gate, log, counters, latencies),
        counters=counters,
        rng=rng,
    )
    return CallPath(
        upstream_pool=upstream_pool,
        hop_pool=hop_pool,
        crash_exchange=CrashExchange(
            settings.node, crashes, directory, hop_pool, counters
        ),
        gate=gate,
        budget=budget,
        balancer=balancer,
        quotas=quotas,
        access=access,
        entry=entry,
    )


def _node_identity(settings: RelaySettings) -> NodeIdentity:
    return NodeIdentity(settings.service, settings.node)

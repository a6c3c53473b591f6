"""The quotas of one node: its coordinator, its shares and its questions for units."""

from knapweedspring_core import Counters, MetricsPage
from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import Quota, Workspace
from knapweedspring_relay._knowledge import DeclaredState, Directory, SourceSelector
from knapweedspring_relay._logs import DecisionLog
from knapweedspring_relay._quota_rules import QuotaRules
from knapweedspring_relay._quotas._borrowing import Borrowing
from knapweedspring_relay._quotas._coordinator import QuotaCoordinator
from knapweedspring_relay._quotas._lending import Lending
from knapweedspring_relay._quotas._own_shares import OwnShares
from knapweedspring_relay._quotas._quota_client import QuotaClient, UnitDecision
from knapweedspring_relay._quotas._quota_server import QuotaHandler, QuotaServer
from knapweedspring_relay._timers import LoopTimers

__all__ = ["Quotas"]

#: Name of the coordinator's role in the ranking of nodes.
COORDINATOR_ROLE = b"quotas"
#: Number of nodes that a data centre is taken to have while no entry of it is known: so
#: many that a share grants nothing. A node that starts would otherwise use all shares.
UNKNOWN_N_NODES = 100_000
#: Period in which leases and questions are checked, in seconds.
CHECK_PERIOD_S = 0.1


class Quotas:
    """Limits the requests of workspaces together with the other nodes.

    :param node: name of this node.
    :param data_centre: this node's data centre.
    :param rules: how strictly quotas hold.
    :param state: the configuration in force.
    :param directory: directory of the nodes.
    :param log: decision log.
    :param counters: counts granted and denied units.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        rules: QuotaRules,
        state: DeclaredState,
        directory: Directory,
        log: DecisionLog,
        counters: Counters,
    ) -> None:
        self._data_centre = data_centre
        self._rules = rules
        self._state = state
        self._directory = directory
        self._selector = SourceSelector(node, data_centre, COORDINATOR_ROLE)
        shared = (lambda: self._rules, self._quota, self._count_nodes)
        self._coordinator = QuotaCoordinator(*shared)
        own_shares = OwnShares(*shared, now_s())
        self._lending = Lending(
            node, self._selector, self._coordinator, own_shares, log
        )
        self._client = QuotaClient(
            self._lending, self._coordinator, own_shares, counters
        )
        self._server = QuotaServer(self._coordinator, log)
        self._borrowing = Borrowing(
            data_centre,
            self._coordinator,
            lambda name: SourceSelector(node, name, COORDINATOR_ROLE),
        )
        self._n_nodes = UNKNOWN_N_NODES

    @property
    def handler(self) -> QuotaHandler:
        """Receives the quota frames of other nodes."""
        return self._server

    def register_gauges(self, page: MetricsPage) -> None:
        """Add gauges for the state of the quotas.

        :param page: the metrics page.
        """
        coordinator, lending = self._coordinator, self._lending
        page.add_gauge("quota_leases", lambda: float(coordinator.n_leases))
        page.add_gauge("quota_workspaces", lambda: float(coordinator.n_buckets))
        page.add_gauge("quota_lending", lambda: float(lending.is_lending))
        page.add_gauge("quota_lenders", lambda: float(self._borrowing.n_lenders))

    def start(self, timers: LoopTimers) -> None:
        """Start to lend the shares of this node.

        :param timers: calls the periodic check.
        """
        timers.call_every(CHECK_PERIOD_S, self._check)

    def stop(self) -> None:
        """Take the shares back and close the connection to the coordinator."""
        self._lending.stop()
        self._borrowing.stop()

    def set_rules(self, rules: QuotaRules) -> None:
        """Replace the rules after a reload of the settings.

        :param rules: how strictly quotas hold.
        """
        self._rules = rules

    def update_entries(self) -> None:
        """Update the ranking of the nodes after a change of the directory."""
        entries = self._directory.listed_entries()
        self._selector.set_entries(entries)
        self._borrowing.update_entries(entries)
        n_local = sum(entry.data_centre == self._data_centre for entry in entries)
        self._n_nodes = n_local or UNKNOWN_N_NODES

    async def acquire(
        self, workspace: Workspace, max_delay_s: float, max_wait_s: float
    ) -> UnitDecision:
        """Obtain a unit for a request; a workspace without a quota needs none.

        :param workspace: the workspace.
        :param max_delay_s: longest time until the unit comes due, in seconds.
        :param max_wait_s: longest time until the decision, in seconds.
        """
        if workspace.quota is None:
            return UnitDecision(True)
        return await self._client.acquire(workspace.name, max_delay_s, max_wait_s)

    def give_back(self, workspace: Workspace) -> None:
        """Return the unit of a request that did not run.

        :param workspace: the workspace.
        """
        if workspace.quota is not None:
            self._client.give_back(workspace.name)

    def _check(self) -> None:
        table = self._state.table
        if table is not None and table.has_quotas:
            self._lending.check()
            self._client.check()
            self._borrowing.check(self._lending.is_lent_here)

    def _quota(self, name: str) -> Quota | None:
        table = self._state.table
        workspace = table.workspace(name) if table is not None else None
        return workspace.quota if workspace is not None else None

    def _count_nodes(self) -> int:
        return self._n_nodes

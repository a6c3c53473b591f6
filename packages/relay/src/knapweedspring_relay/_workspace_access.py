"""Decides whether the key of a request allows its route."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from mypy_extensions import mypyc_attr

from knapweedspring_relay._clock import now_s
from knapweedspring_relay._configuration import Route, RouteTable
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._requests import Request
from knapweedspring_relay._workspace_keys import Caller, KeyVerdict, identify_caller

__all__ = ["AccessDecision", "AccessRules", "ConfigurationFreshness", "WorkspaceAccess"]

#: Share of the time in which a change must be in force within which a configuration
#: must have been confirmed for an unknown key to be refused without a question.
CONFIRMED_SHARE = 0.5
#: Share of the time in which a withdrawn key must be refused by a node that has lost
#: touch, after which the node stops to accept keys.
STRICT_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class AccessRules:
    """How current the configuration must be for a decision on a key."""

    #: Time within which a change of the configuration must be in force, in seconds.
    in_force_s: float
    #: Whether keys are refused once the configuration is too old.
    is_strict: bool
    #: Age of the configuration at which keys are refused then, in seconds.
    max_age_s: float


@dataclass(frozen=True, slots=True)
class AccessDecision:
    """Whether a request may use its route."""

    #: Who sent the request.
    caller: Caller
    #: Status of the refusal; 0 when the request is allowed.
    status: int = 0
    #: Reason of the refusal, for logs.
    reason: str = ""


@mypyc_attr(allow_interpreted_subclasses=True)
class ConfigurationFreshness(ABC):
    """Tells how current the configuration is, and finds out whether it is current."""

    @abstractmethod
    def age_s(self, now: float) -> float:
        """Return how long ago the configuration was last confirmed, in seconds.

        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    async def confirm(self) -> bool:
        """Ask whether there is a newer configuration, and put it in force.

        Concurrent calls share one question.

        :return: whether an answer arrived in time.
        """


class WorkspaceAccess:
    """Checks the keys of requests against the configuration in force.

    :param names: names of the callers' headers.
    :param table: returns the configuration in force.
    :param freshness: tells how current the configuration is.
    :param rules: how current it must be.
    """

    def __init__(
        self,
        names: CallHeaders,
        table: Callable[[], RouteTable | None],
        freshness: ConfigurationFreshness,
        rules: AccessRules,
    ) -> None:
        self._names = names
        self._table = table
        self._freshness = freshness
        self._rules = rules

    def set_rules(self, rules: AccessRules) -> None:
        """Replace the rules after a reload of the settings.

        :param rules: how current the configuration must be.
        """
        self._rules = rules

    def dropped_headers(self, table: RouteTable) -> frozenset[bytes]:
        """Return the headers that are not passed on to upstreams.

        :param table: the configuration in force.
        """
        dropped = self._names.set_by_system
        return dropped | {self._names.credentials} if table.has_workspaces else dropped

    def is_withdrawn(self, digest: bytes) -> bool:
        """Return whether no workspace holds a key any more.

        :param digest: digest of the key; empty for a request without a key.
        """
        table = self._table()
        return (
            digest != b""
            and table is not None
            and table.has_workspaces
            and table.workspace_of_key(digest) is None
        )

    async def decide(
        self, request: Request, table: RouteTable, route: Route
    ) -> AccessDecision:
        """Decide whether a request may use its route.

        A key that is unknown here may have been added in a version that has not
        arrived. Unless the configuration was confirmed lately, the node asks for a
        newer one before it refuses the key.

        :param request: the request.
        :param table: the configuration in force.
        :param route: route of the request.
        """
        caller = identify_caller(request.headers, self._names, table, route)
        if caller.verdict is KeyVerdict.ALLOWED:
            return self._decide_known(caller)
        if caller.verdict is KeyVerdict.UNKNOWN and not self._is_confirmed():
            is_confirmed = await self._freshness.confirm()
            newer = self._table() or table
            caller = identify_caller(request.headers, self._names, newer, route)
            if caller.verdict is KeyVerdict.ALLOWED:
                return self._decide_known(caller)
            if not is_confirmed:
                reason = "the key is unknown and the configuration may be old"
                return AccessDecision(caller, 503, reason)
        return AccessDecision(caller, 401, caller.verdict.value)

    def _decide_known(self, caller: Caller) -> AccessDecision:
        rules = self._rules
        if not rules.is_strict or caller.workspace is None:
            return AccessDecision(caller)
        if self._freshness.age_s(now_s()) <= STRICT_SHARE * rules.max_age_s:
            return AccessDecision(caller)
        reason = "the configuration is too old to accept keys"
        return AccessDecision(caller, 503, reason)

    def _is_confirmed(self) -> bool:
        max_age_s = CONFIRMED_SHARE * self._rules.in_force_s
        return self._freshness.age_s(now_s()) <= max_age_s

"""Interfaces between the relay and a deployment's adapter."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from knapweedspring_core import SettingsError
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._http_server import RequestHandler
from knapweedspring_relay._knowledge import DeploymentStore
from knapweedspring_relay._local_upstream import Heartbeat, HeartbeatVerdict
from knapweedspring_relay._settings import RelaySettings

__all__ = ["DeploymentAdapter", "HeartbeatReceiver"]


@dataclass(frozen=True, slots=True)
class DeploymentAdapter:
    """Everything that a deployment's adapter supplies to the relay."""

    #: Names of the headers that callers and upstreams use.
    headers: CallHeaders
    #: Path of the readiness check.
    readiness_path: str
    #: The deployment's store.
    store: DeploymentStore
    #: Makes the handler of the upstream's heartbeat requests, which passes the decoded
    #: heartbeats to the given receiver.
    heartbeat_handler: Callable[["HeartbeatReceiver"], RequestHandler]
    #: Reads and checks the settings file again, for a reload.
    read_settings: Callable[[], Result[RelaySettings, SettingsError]]
    #: Path of the settings file.
    settings_file: str


class HeartbeatReceiver(ABC):
    """Receives the heartbeats and the departure of the upstream beside the node."""

    @abstractmethod
    def apply_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatVerdict:
        """Apply a heartbeat; the gate uses the new state once this method returns.

        :param heartbeat: decoded heartbeat.
        :return: effect of the heartbeat, which decides the answer to the upstream.
        """

    @abstractmethod
    def apply_departure(self, instance: str) -> HeartbeatVerdict:
        """Apply the departure of a process.

        The gate accepts no new calls for the process once this method returns.

        :param instance: identity of the process.
        :return: effect of the departure.
        """

    @abstractmethod
    async def wait_published(self) -> None:
        """Wait until the store has the state of the upstream, for a short time.

        A leaving that is acknowledged before could be forgotten by a restart.
        """

    @abstractmethod
    def reject_heartbeat(self, reason: str) -> None:
        """Log a heartbeat that cannot be decoded.

        :param reason: why the heartbeat cannot be decoded.
        """

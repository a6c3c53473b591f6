"""What a deployment's adapter supplies, and what it hands heartbeats to."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from knapweedspring_core import SettingsError
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._http_server import RequestHandler
from knapweedspring_relay._local_upstream import Heartbeat, HeartbeatVerdict
from knapweedspring_relay._object_store import DeploymentStore
from knapweedspring_relay._settings import RelaySettings

__all__ = ["DeploymentAdapter", "HeartbeatReceiver"]


@dataclass(frozen=True, slots=True)
class DeploymentAdapter:
    """What a deployment's adapter supplies."""

    #: Names of the callers' and upstreams' headers.
    headers: CallHeaders
    #: Path that readiness is asked at.
    readiness_path: str
    #: The deployment's store.
    store: DeploymentStore
    #: Makes the handler of the upstream's heartbeats.
    heartbeat_handler: Callable[["HeartbeatReceiver"], RequestHandler]
    #: Reads the settings file again.
    read_settings: Callable[[], Result[RelaySettings, SettingsError]]
    #: Path of the settings file.
    settings_file: str


class HeartbeatReceiver(ABC):
    """Takes in what the upstream beside the node says of itself."""

    @abstractmethod
    def take_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatVerdict:
        """Take in a heartbeat; it is in force when this returns."""

    @abstractmethod
    def take_departure(self, instance: str) -> HeartbeatVerdict:
        """Take in that the upstream leaves; in force when this returns."""

    @abstractmethod
    def reject(self, reason: str) -> None:
        """Log a heartbeat that cannot be read."""

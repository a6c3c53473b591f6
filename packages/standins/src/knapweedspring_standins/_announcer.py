"""Heartbeats that announce an upstream stand-in to the node on its VM."""

import json
import threading

import urllib3

from knapweedspring_core import UpstreamState
from knapweedspring_standins._upstream_settings import UpstreamSettings

__all__ = ["Announcer"]

HEARTBEAT_S = 1.0
REQUEST_TIMEOUT_S = 2.0


class Announcer:
    """Sends the upstream's state to the node each second and when the state changes.

    :param settings: settings of the upstream.
    :param address: ``ip:port`` that the upstream serves on.
    """

    def __init__(self, settings: UpstreamSettings, address: str) -> None:
        self._settings = settings
        self._address = address
        self._state = UpstreamState.STARTING
        self._changed = threading.Event()
        self._stopping = False
        self._n_accepted = 0
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    @property
    def state(self) -> UpstreamState:
        """State that the heartbeats announce."""
        return self._state

    @property
    def n_accepted(self) -> int:
        """Number of heartbeats that the node accepted."""
        return self._n_accepted

    def change_state(self, state: UpstreamState) -> None:
        """Announce another state at once, ahead of the next heartbeat.

        :param state: state to announce from now on.
        """
        self._state = state
        self._changed.set()

    def stop(self) -> None:
        """Make :meth:`run` return, after a last heartbeat if one is being sent."""
        self._stopping = True
        self._changed.set()

    def run(self) -> None:
        """Send heartbeats until :meth:`stop`; runs in a thread of its own."""
        while not self._stopping:
            if self._settings.node_admin:
                self._announce()
            self._changed.wait(HEARTBEAT_S)
            self._changed.clear()

    def _announce(self) -> None:
        message = {
            "service": self._settings.service,
            "address": self._address,
            "slots": self._settings.n_slots,
            "connections": self._settings.n_connections,
            "state": self._state.value,
        }
        url = f"http://{self._settings.node_admin}/upstreams"
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._pool.request(
                "POST",
                url,
                body=json.dumps(message),
                headers=headers,
                timeout=REQUEST_TIMEOUT_S,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            # The node may be starting or stopped; the next heartbeat is sent as usual.
            return
        if 200 <= answer.status < 300:
            self._n_accepted += 1

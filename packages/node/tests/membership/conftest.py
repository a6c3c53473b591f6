"""Meshes of several membership services in one process, on loopback sockets."""

import itertools
import threading
import time
from dataclasses import replace

import pytest

from knapweedspring_core import Counters, DeclarationStore, EventLog, TimerService
from knapweedspring_node._membership import (
    Identity,
    MembershipService,
    MembershipSettings,
    TrafficFilter,
)

WAIT_MAX_S = 30.0
SETTINGS = MembershipSettings(
    allow_plain=True,
    probe_period_s=0.2,
    probe_timeout_s=0.3,
    suspicion_s=1.0,
    sync_period_s=1.0,
    rejoin_period_s=0.5,
)

_incarnations = itertools.count(1)


def _wait_until(condition, description="the condition"):
    deadline_at = time.monotonic() + WAIT_MAX_S
    while not condition():
        assert time.monotonic() < deadline_at, f"{description} did not come true"
        time.sleep(0.02)


class Blocklist(TrafficFilter):
    """Drops messages that the node sends to the listed control addresses."""

    def __init__(self):
        self.blocked = set()

    def may_send(self, address):
        return address not in self.blocked


class Node:
    """A membership service with its own store, timers, events and counters."""

    def __init__(
        self, node_id, data_centre, settings, firm="boerewors", incarnation=None
    ):
        self.store = DeclarationStore()
        self.counters = Counters()
        self.events = EventLog(node_id)
        self.errors = []
        self.filter = Blocklist()
        self.timers = TimerService(self.errors.append)
        identity = Identity(
            node_id,
            firm,
            data_centre,
            "127.0.0.1:1",
            "127.0.0.1:2",
            next(_incarnations),
        )
        self.service = MembershipService(
            identity,
            settings,
            self.store,
            self.timers,
            self.events,
            self.counters,
            self.filter,
        )
        self.address = self.service.bind().unwrap()
        self.timer_thread = threading.Thread(target=self.timers.run, daemon=True)
        self.timer_thread.start()
        self.service.start()

    @property
    def node_id(self):
        return self.service.own_entry.node_id

    def states(self):
        return {member.node_id: member.state for member in self.service.members()}

    def stop(self):
        self.timers.stop()
        self.service.stop()

    def join(self):
        assert self.service.join(15)
        self.timer_thread.join(10)


class Mesh:
    """The running nodes; a new node joins through the first three of them."""

    def __init__(self):
        self.nodes = []

    def add(self, node_id, data_centre="a", settings=SETTINGS, **arguments):
        contacts = tuple(node.address for node in self.nodes[:3])
        settings = replace(settings, contacts=settings.contacts or contacts)
        node = Node(node_id, data_centre, settings, **arguments)
        self.nodes.append(node)
        return node

    def kill(self, node):
        """Stop a node without notifying its peers."""
        self.nodes.remove(node)
        node.stop()
        node.join()

    def drop_messages(self, senders, receivers):
        """Drop the messages that the senders send to the receivers."""
        for node in senders:
            node.filter.blocked |= {other.address for other in receivers}

    def partition(self, first, second):
        """Drop all messages between two groups of nodes."""
        self.drop_messages(first, second)
        self.drop_messages(second, first)

    def heal(self):
        """Deliver all messages between the running nodes again."""
        for node in self.nodes:
            node.filter.blocked = set()

    def sum_counter(self, name):
        """Sum a counter over the running nodes."""
        return sum(node.counters.get(name) for node in self.nodes)

    def wait_for_state(self, state, nodes=None):
        """Wait until every running node sees the given nodes in a state.

        Without ``nodes``, wait for the state of all running nodes.
        """
        node_ids = [node.node_id for node in nodes or self.nodes]
        _wait_until(
            lambda: all(
                node.states().get(node_id) == state
                for node in self.nodes
                for node_id in node_ids
            ),
            f"{node_ids} {state} everywhere",
        )


@pytest.fixture
def wait_until():
    return _wait_until


@pytest.fixture
def fast_settings():
    return SETTINGS


@pytest.fixture
def mesh():
    new_mesh = Mesh()
    yield new_mesh
    errors = [error for node in new_mesh.nodes for error in node.errors]
    for node in new_mesh.nodes:
        node.stop()
    for node in new_mesh.nodes:
        node.join()
    assert errors == []

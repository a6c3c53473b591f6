"""Scenarios of the bench: rates, and what happens to the mesh meanwhile."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedspring_standins._caller_plan import Phase
from knapweedspring_standins._faults import BlackHole
from knapweedspring_standins._firms import Firm
from knapweedspring_standins._invariants import PlannedStop
from knapweedspring_standins._mesh import Mesh, Place
from knapweedspring_standins._upstream_settings import UpstreamFaults

__all__ = ["SCENARIOS", "Scenario", "Stage"]

BASE_PART = 0.7
SURGE_PART = 2.0
SLOW_FACTOR = 3.0
STOP_TIMEOUT_S = 45.0
WARM = Phase("warm", 5.0, 0.5)
BASE = Phase("base", 8.0, BASE_PART)


@dataclass(slots=True)
class Stage:
    """What a scenario acts on."""

    #: The running mesh.
    mesh: Mesh
    #: The firm.
    firm: Firm
    #: Monotonic seconds of the first phase's beginning.
    start_s: float
    #: Stops that the scenario announced.
    stops: list[PlannedStop]

    def wait_until(self, offset_s: float) -> None:
        """Sleep until so many seconds after the beginning."""
        time.sleep(max(0.0, self.start_s + offset_s - time.monotonic()))

    def slow_deep_service(self, factor: float) -> None:
        """Multiply the service times of the deepest service."""
        for place in self.mesh.places_of(self.firm.deep_service):
            self.mesh.set_faults(place, UpstreamFaults(slow_factor=factor))


class Scenario(ABC):
    """Phases as parts of the saturation rate, and a cause within them."""

    @property
    @abstractmethod
    def phases(self) -> tuple[Phase, ...]:
        """Phases; their rates are parts of the saturation rate."""

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Names of the phases in which the cause lasts; none without one."""
        return ()

    @property
    def partitions(self) -> bool:
        """Whether data centres are cut off from each other."""
        return False

    def act(self, stage: Stage) -> None:
        """Do to the mesh what the scenario demands; returns when done."""
        return

    def offset_of(self, name: str) -> float:
        """Seconds from the beginning to a phase."""
        offset_s = 0.0
        for phase in self.phases:
            if phase.name == name:
                return offset_s
            offset_s += phase.seconds
        raise KeyError(name)


class Steady(Scenario):
    """An even rate below saturation."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """A warm-up and one long phase."""
        return (WARM, Phase("base", 25.0, BASE_PART))


class Surge(Scenario):
    """Saturation, then twice that, then back to the even rate."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, saturation, surge and after."""
        return (
            WARM,
            BASE,
            Phase("saturation", 10.0, 1.0),
            Phase("surge", 15.0, SURGE_PART),
            Phase("after", 15.0, BASE_PART),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """The surge."""
        return ("surge",)


class SlowDeep(Scenario):
    """The deepest service slows, and demand surges on top of it."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, slow, slow with surge, and after."""
        return (
            WARM,
            BASE,
            Phase("slow", 7.0, BASE_PART),
            Phase("slow-surge", 10.0, 1.4),
            Phase("after", 20.0, BASE_PART),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Both slow phases."""
        return ("slow", "slow-surge")

    def act(self, stage: Stage) -> None:
        """Slow the deepest service during the cause."""
        stage.wait_until(self.offset_of("slow"))
        stage.slow_deep_service(SLOW_FACTOR)
        stage.wait_until(self.offset_of("after"))
        stage.slow_deep_service(1.0)


class PlatformOutage(Scenario):
    """The platform is unreachable while demand surges."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, outage, outage with surge, and after."""
        return (
            WARM,
            BASE,
            Phase("outage", 8.0, BASE_PART),
            Phase("outage-surge", 10.0, SURGE_PART),
            Phase("after", 15.0, BASE_PART),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Both phases of the outage."""
        return ("outage", "outage-surge")

    def act(self, stage: Stage) -> None:
        """Swallow everything between nodes and platform during the cause."""
        stage.wait_until(self.offset_of("outage"))
        stage.mesh.platform_proxy.set_faults(BlackHole())
        stage.wait_until(self.offset_of("after"))
        stage.mesh.platform_proxy.set_faults()


class Partition(Scenario):
    """The first data centre is cut off from the others and the platform."""

    def __init__(self, cut_part: float = BASE_PART) -> None:
        self._cut_part = cut_part

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, cut and after."""
        return (
            WARM,
            BASE,
            Phase("cut", 15.0, self._cut_part),
            Phase("after", 20.0, BASE_PART),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """The time of the cut."""
        return ("cut",)

    @property
    def partitions(self) -> bool:
        """Whether data centres are cut off from each other."""
        return True

    def act(self, stage: Stage) -> None:
        """Cut the first data centre off during the cause."""
        cut_off = stage.mesh.layout.data_centres[0]
        stage.wait_until(self.offset_of("cut"))
        stage.mesh.partition(cut_off)
        stage.wait_until(self.offset_of("after"))
        stage.mesh.heal()


class Rolling(Scenario):
    """Each VM of one data centre is stopped in order and replaced."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, replacing and after."""
        return (
            WARM,
            BASE,
            Phase("rolling", 40.0, BASE_PART),
            Phase("after", 10.0, BASE_PART),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """The time of the replacements."""
        return ("rolling",)

    def act(self, stage: Stage) -> None:
        """Replace upstream and node of each VM, one after the other."""
        stage.wait_until(self.offset_of("rolling"))
        data_centre = stage.mesh.layout.data_centres[0]
        for place in stage.mesh.places:
            if place.node_file.data_centre == data_centre:
                replace_place(stage, place)


def replace_place(stage: Stage, place: Place) -> None:
    """Stop upstream and node in order, and start new ones in their stead."""
    assert place.upstream is not None
    upstream, node = place.upstream, place.node
    upstream_address, call_address = place.upstream_address, place.call_address
    at_s = time.monotonic()
    upstream.terminate()
    upstream.wait(STOP_TIMEOUT_S)
    node.terminate()
    node.wait(STOP_TIMEOUT_S)
    until_s = time.monotonic()
    stage.stops.append(PlannedStop(upstream_address, call_address, at_s, until_s))
    stage.mesh.replace(place)


#: Scenarios by name.
SCENARIOS: dict[str, Scenario] = {
    "steady": Steady(),
    "surge": Surge(),
    "slow-deep": SlowDeep(),
    "platform-outage": PlatformOutage(),
    "partition": Partition(),
    "rolling": Rolling(),
    "surge-partition": Partition(cut_part=SURGE_PART),
}

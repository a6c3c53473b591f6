"""Scenarios of the bench: load phases, and faults injected into the mesh."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

from knapweedspring_standins._caller_plan import Phase
from knapweedspring_standins._faults import BlackHole
from knapweedspring_standins._firms import Firm
from knapweedspring_standins._invariants import PlannedStop
from knapweedspring_standins._mesh import Mesh, MeshVm
from knapweedspring_standins._upstream_settings import UpstreamFaults

__all__ = ["SCENARIOS", "Scenario", "ScenarioContext"]

#: Arrival rate of ordinary load, as a ratio to the saturation rate.
BASE_LOAD_RATIO = 0.7
#: Arrival rate of a surge, as a ratio to the saturation rate.
SURGE_LOAD_RATIO = 2.0
#: Factor on the service times of a slowed-down service.
SLOW_FACTOR = 3.0
STOP_TIMEOUT_S = 45.0
WARM = Phase("warm", 5.0, 0.5)
BASE = Phase("base", 8.0, BASE_LOAD_RATIO)


@dataclass(slots=True)
class ScenarioContext:
    """Mesh, start time and planned stops of a running scenario."""

    #: The running mesh.
    mesh: Mesh
    #: Firm whose layout and load are run.
    firm: Firm
    #: Start of the first phase, in seconds on the monotonic clock.
    start_s: float
    #: Planned stops that the scenario carried out.
    stops: list[PlannedStop]

    def wait_until(self, offset_s: float) -> None:
        """Sleep until a time after the start of the first phase.

        :param offset_s: seconds after the start; a time in the past ends the wait at
            once.
        """
        time.sleep(max(0.0, self.start_s + offset_s - time.monotonic()))

    def slow_deep_service(self, factor: float) -> None:
        """Multiply the service times of the deepest service by a factor.

        :param factor: factor on the usual times; 1 restores them.
        """
        for vm in self.mesh.vms_of(self.firm.deep_service):
            self.mesh.set_faults(vm, UpstreamFaults(slow_factor=factor))


class Scenario(ABC):
    """A sequence of load phases, with or without a surge or fault.

    The surge or fault is called the cause. It lasts for some of the phases.
    """

    @property
    @abstractmethod
    def phases(self) -> tuple[Phase, ...]:
        """Load phases; their rates are ratios to the saturation rate."""

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Names of the phases in which the cause lasts; empty without a cause."""
        return ()

    @property
    def needs_partition_proxies(self) -> bool:
        """Whether the mesh needs proxies that can partition its data centres."""
        return False

    def run(self, context: ScenarioContext) -> None:
        """Inject the scenario's faults at their times; return after the last fault.

        :param context: mesh to inject faults into, and start of the first phase.
        """
        return

    def phase_offset_s(self, name: str) -> float:
        """Return the seconds from the first phase's start to a phase's start.

        :param name: name of the phase.
        :raises KeyError: the scenario has no such phase.
        """
        offset_s = 0.0
        for phase in self.phases:
            if phase.name == name:
                return offset_s
            offset_s += phase.seconds
        raise KeyError(name)


class SteadyLoad(Scenario):
    """A constant rate below saturation."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """A warm-up and one long phase."""
        return (WARM, Phase("base", 25.0, BASE_LOAD_RATIO))


class Surge(Scenario):
    """The base rate, the saturation rate, twice saturation, then the base rate."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, saturation, surge and after."""
        return (
            WARM,
            BASE,
            Phase("saturation", 10.0, 1.0),
            Phase("surge", 15.0, SURGE_LOAD_RATIO),
            Phase("after", 15.0, BASE_LOAD_RATIO),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Name of the surge phase."""
        return ("surge",)


class SlowDeepService(Scenario):
    """The deepest service slows down, and later demand surges as well."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, slow, slow with surge, and after."""
        return (
            WARM,
            BASE,
            Phase("slow", 7.0, BASE_LOAD_RATIO),
            Phase("slow-surge", 10.0, 1.4),
            Phase("after", 20.0, BASE_LOAD_RATIO),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Names of both slow phases."""
        return ("slow", "slow-surge")

    def run(self, context: ScenarioContext) -> None:
        """Slow the deepest service down during the cause."""
        context.wait_until(self.phase_offset_s("slow"))
        context.slow_deep_service(SLOW_FACTOR)
        context.wait_until(self.phase_offset_s("after"))
        context.slow_deep_service(1.0)


class PlatformOutage(Scenario):
    """The platform is unreachable, and later demand surges as well."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, outage, outage with surge, and after."""
        return (
            WARM,
            BASE,
            Phase("outage", 8.0, BASE_LOAD_RATIO),
            Phase("outage-surge", 10.0, SURGE_LOAD_RATIO),
            Phase("after", 15.0, BASE_LOAD_RATIO),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Names of both phases of the outage."""
        return ("outage", "outage-surge")

    def run(self, context: ScenarioContext) -> None:
        """Drop all traffic between nodes and platform during the cause."""
        context.wait_until(self.phase_offset_s("outage"))
        context.mesh.platform_proxy.set_faults(BlackHole())
        context.wait_until(self.phase_offset_s("after"))
        context.mesh.platform_proxy.set_faults()


class Partition(Scenario):
    """The first data centre is partitioned from the others and the platform.

    :param load_ratio: rate during the partition, as ratio to the saturation rate.
    """

    def __init__(self, load_ratio: float = BASE_LOAD_RATIO) -> None:
        self._load_ratio = load_ratio

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, partition and after."""
        return (
            WARM,
            BASE,
            Phase("cut", 15.0, self._load_ratio),
            Phase("after", 20.0, BASE_LOAD_RATIO),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Name of the partition phase."""
        return ("cut",)

    @property
    def needs_partition_proxies(self) -> bool:
        """Whether the mesh needs proxies that can partition its data centres."""
        return True

    def run(self, context: ScenarioContext) -> None:
        """Partition the first data centre from the rest during the cause."""
        data_centre = context.mesh.layout.data_centres[0]
        context.wait_until(self.phase_offset_s("cut"))
        context.mesh.partition(data_centre)
        context.wait_until(self.phase_offset_s("after"))
        context.mesh.heal()


class RollingReplacement(Scenario):
    """Each VM of one data centre is stopped and replaced, one after the other."""

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Base, replacement and after."""
        return (
            WARM,
            BASE,
            Phase("rolling", 40.0, BASE_LOAD_RATIO),
            Phase("after", 10.0, BASE_LOAD_RATIO),
        )

    @property
    def cause_phases(self) -> tuple[str, ...]:
        """Name of the phase in which VMs are replaced."""
        return ("rolling",)

    def run(self, context: ScenarioContext) -> None:
        """Replace the upstream and the node of each VM, one VM after the other."""
        context.wait_until(self.phase_offset_s("rolling"))
        data_centre = context.mesh.layout.data_centres[0]
        for vm in context.mesh.vms:
            if vm.node_file.data_centre == data_centre:
                stop_and_replace_vm(context, vm)


def stop_and_replace_vm(context: ScenarioContext, vm: MeshVm) -> None:
    """Stop the upstream and then the node of a VM, and start new ones.

    Records the planned stop in the context.

    :param context: running mesh, and list that the planned stop is added to.
    :param vm: VM whose upstream and node are replaced.
    """
    assert vm.upstream is not None
    upstream, node = vm.upstream, vm.node
    upstream_address, call_address = vm.upstream_address, vm.call_address
    announced_at = time.monotonic()
    upstream.terminate()
    upstream.wait(STOP_TIMEOUT_S)
    node.terminate()
    node.wait(STOP_TIMEOUT_S)
    ended_at = time.monotonic()
    context.stops.append(
        PlannedStop(upstream_address, call_address, announced_at, ended_at)
    )
    context.mesh.replace_vm(vm)


#: Scenarios by name.
SCENARIOS: dict[str, Scenario] = {
    "steady": SteadyLoad(),
    "surge": Surge(),
    "slow-deep": SlowDeepService(),
    "platform-outage": PlatformOutage(),
    "partition": Partition(),
    "rolling": RollingReplacement(),
    "surge-partition": Partition(load_ratio=SURGE_LOAD_RATIO),
}

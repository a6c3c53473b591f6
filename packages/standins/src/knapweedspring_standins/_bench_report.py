"""Report of the bench: figures of the runs, as data, text table and SVG plot."""

from dataclasses import dataclass

from knapweedspring_standins._analysis import (
    AttemptFigures,
    LatencyFigures,
    PhaseFigures,
    Window,
)

__all__ = ["BenchReport", "ModeReport", "NodeCost", "report_text", "write_plot"]


@dataclass(frozen=True, slots=True)
class NodeCost:
    """CPU and memory that the nodes used while the callers ran."""

    #: Mean number of CPU cores that a node used.
    cores_mean: float
    #: Number of CPU cores that the busiest node used.
    cores_max: float
    #: Resident memory at the end of the run of the node that used most, in KB.
    memory_max_kb: int


@dataclass(frozen=True, slots=True)
class ModeReport:
    """Figures of one run under one policy mode."""

    #: Policy mode.
    mode: str
    #: Arrivals, successes and goodput by phase and kind.
    phases: tuple[PhaseFigures, ...]
    #: Latency of successful requests by kind.
    latencies: tuple[LatencyFigures, ...]
    #: Number of attempts at the upstreams, and the work spent on them.
    attempts: AttemptFigures
    #: Largest number of attempts beyond the first in one chain.
    n_extra_attempts_max: int
    #: Seconds from the end of the cause (the scenario's surge or fault) until the run
    #: recovered; None when it did not recover, or when the scenario has no cause.
    recovery_s: float | None
    #: Ratio of the goodput in phase ``surge`` to the goodput in phase ``saturation``;
    #: None without these phases.
    goodput_part_of_saturation: float | None
    #: Share of the requests of the firm's top kind that succeeded, over the requests
    #: that arrived during the cause; None without a cause.
    top_kind_part: float | None
    #: Number of violations of each invariant.
    violations: dict[str, int]
    #: Descriptions of the first violations.
    examples: tuple[str, ...]
    #: Number of sends by kind of answer; refusals are counted by outcome and reason.
    answers: dict[str, int]
    #: Number of attempts for requests of the firm's top kind that failed at an
    #: upstream, by service and reason.
    top_kind_failures: dict[str, int]
    #: Number of non-repeatable logical requests that were checked for duplicate runs.
    n_non_repeatable: int
    #: Number of sends that were answered ``not-run`` and checked not to have run.
    n_not_run: int
    #: Number of requests that callers sent late because no worker was free.
    n_late: int
    #: CPU and memory that the nodes used.
    cost: NodeCost
    #: Number of logical requests that succeeded in each second of the run.
    goodput_by_second: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BenchReport:
    """Figures of one scenario with one seed, with one run for each policy mode."""

    #: Name of the scenario.
    scenario: str
    #: Name of the firm.
    firm: str
    #: Seed of arrivals, service times and faults.
    seed: int
    #: Description of what was scaled down from the firm's own sizes.
    scaling: str
    #: Number of processor cores of the machine.
    n_cores: int
    #: Load average of the machine over the minute before the first run.
    load_before: float
    #: Start and end of each phase, in seconds from the start of the first phase.
    windows: tuple[Window, ...]
    #: Names of the phases in which the cause (the scenario's surge or fault) lasted;
    #: empty for a scenario without a cause.
    cause_phases: tuple[str, ...]
    #: Figures of the runs, one run for each policy mode.
    modes: tuple[ModeReport, ...]


def report_text(report: BenchReport) -> str:
    """Format a report as a text table."""
    lines = [
        f"{report.scenario}, {report.firm}, seed {report.seed}, "
        f"{report.n_cores} cores, load before {report.load_before:.1f}",
        report.scaling,
    ]
    for mode in report.modes:
        lines += ["", f"policy {mode.mode}"]
        lines += _mode_lines(mode)
    return "\n".join(lines)


def _mode_lines(mode: ModeReport) -> list[str]:
    lines = [f"  {'phase':14}{'kind':16}{'arrived':>8}{'whole':>8}{'part':>8}{'/s':>8}"]
    for figures in mode.phases:
        lines.append(
            f"  {figures.phase:14}{figures.kind:16}{figures.n_arrivals:8}"
            f"{figures.n_succeeded:8}{figures.success_ratio:8.3f}"
            f"{figures.goodput:8.1f}"
        )
    lines.append(f"  {'latency ms':30}{'n':>8}{'p50':>8}{'p90':>8}{'p99':>8}{'max':>8}")
    for latency in mode.latencies:
        lines.append(
            f"  {latency.kind:30}{latency.n:8}{latency.p50_ms:8.0f}"
            f"{latency.p90_ms:8.0f}{latency.p99_ms:8.0f}{latency.max_ms:8.0f}"
        )
    work = mode.attempts
    lines += [
        f"  recovery {_format_number(mode.recovery_s)} s; goodput in the surge "
        f"{_format_number(mode.goodput_part_of_saturation)} of that at saturation; "
        f"success ratio of the top kind {_format_number(mode.top_kind_part)} during "
        "the surge or fault",
        f"  attempts per request {work.attempts_per_request:.2f}, at most "
        f"{mode.n_extra_attempts_max} beyond the first in a chain, sends per request "
        f"{work.sends_per_request:.2f}; wasted part of the work "
        f"{work.part_wasted:.3f} of {work.work_s:.0f} s",
        f"  failures of the top kind {mode.top_kind_failures}",
        f"  answers {mode.answers}; late starts {mode.n_late}",
        f"  nodes {mode.cost.cores_mean:.3f} cores (max {mode.cost.cores_max:.3f}), "
        f"{mode.cost.memory_max_kb // 1024} MB",
        f"  violations {mode.violations} ({mode.n_non_repeatable} non-repeatable, "
        f"{mode.n_not_run} not-run)",
        *(f"    {example}" for example in mode.examples),
    ]
    return lines


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3g}"


def write_plot(report: BenchReport, file: str) -> None:
    """Write an SVG plot of successful requests by second.

    The phases in which the cause lasted are shaded.

    :param report: report of one scenario.
    :param file: path of the SVG file.
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for mode in report.modes:
        axes.plot(range(len(mode.goodput_by_second)), mode.goodput_by_second)
    axes.legend([mode.mode for mode in report.modes])
    for window in report.windows:
        axes.axvline(window.start_s, color="grey", linewidth=0.5)
        axes.text(window.start_s, axes.get_ylim()[1], f" {window.name}", fontsize=8)
        if window.name in report.cause_phases:
            axes.axvspan(window.start_s, window.end_s, alpha=0.1, color="red")
    axes.set_xlabel("seconds")
    axes.set_ylabel("successful requests a second")
    axes.set_title(f"{report.scenario}, {report.firm}, seed {report.seed}", loc="left")
    figure.savefig(file, format="svg")
    pyplot.close(figure)

"""What the bench reports, as typed figures, text and a picture."""

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
    """What the nodes used while the callers ran."""

    #: Mean part of a core of one node.
    cores_mean: float
    #: Largest part of a core of one node.
    cores_max: float
    #: Largest resident memory of one node at the end, in KB.
    memory_max_kb: int


@dataclass(frozen=True, slots=True)
class ModeReport:
    """One run under one policy."""

    #: Policy mode.
    mode: str
    #: Arrivals, successes and goodput by phase and kind.
    phases: tuple[PhaseFigures, ...]
    #: Latency of whole requests by kind.
    latencies: tuple[LatencyFigures, ...]
    #: Work at the upstreams.
    attempts: AttemptFigures
    #: Largest number of attempts beyond the first in one chain.
    n_extra_attempts_max: int
    #: Seconds from the end of the cause to recovery; None when not reached,
    #: or without a cause.
    recovery_s: float | None
    #: Goodput in the surge as part of the goodput at saturation; None without.
    goodput_part_of_saturation: float | None
    #: Part of the top kind that succeeded while the cause lasted; None without.
    top_kind_part: float | None
    #: Number of violations by invariant.
    violations: dict[str, int]
    #: Examples of violations.
    examples: tuple[str, ...]
    #: Sends by answer, or by outcome and reason for the layer's own answers.
    answers: dict[str, int]
    #: Reasons for which upstreams failed requests of the top kind, by service.
    top_kind_failures: dict[str, int]
    #: Non-repeatable requests checked for duplicates.
    n_non_repeatable: int
    #: Answers ``not-run`` checked for honesty.
    n_not_run: int
    #: Arrivals that began late in the callers.
    n_late: int
    #: Cost of the nodes.
    cost: NodeCost
    #: Whole requests by second.
    goodput_by_second: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BenchReport:
    """One scenario with one seed, under both policies."""

    #: Scenario.
    scenario: str
    #: Firm.
    firm: str
    #: Seed.
    seed: int
    #: What was scaled, and why.
    scaling: str
    #: Processor cores of the machine.
    n_cores: int
    #: Load average before the run.
    load_before: float
    #: Phases, in seconds from the beginning.
    windows: tuple[Window, ...]
    #: Phases in which the cause lasted.
    cause_phases: tuple[str, ...]
    #: The runs.
    modes: tuple[ModeReport, ...]


def report_text(report: BenchReport) -> str:
    """A table of a report."""
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
            f"{figures.n_succeeded:8}{figures.part_succeeded:8.3f}"
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
        f"  recovery {_text(mode.recovery_s)} s; goodput at the surge "
        f"{_text(mode.goodput_part_of_saturation)} of saturation; top kind "
        f"{_text(mode.top_kind_part)} during the cause",
        f"  attempts {work.attempts_per_request:.2f} a request, most beyond the "
        f"first {mode.n_extra_attempts_max}, sends {work.sends_per_request:.2f}; "
        f"wasted work {work.part_wasted:.3f} of {work.work_s:.0f} s",
        f"  failures of the top kind {mode.top_kind_failures}",
        f"  answers {mode.answers}; late starts {mode.n_late}",
        f"  nodes {mode.cost.cores_mean:.3f} cores (max {mode.cost.cores_max:.3f}), "
        f"{mode.cost.memory_max_kb // 1024} MB",
        f"  violations {mode.violations} ({mode.n_non_repeatable} non-repeatable, "
        f"{mode.n_not_run} not-run)",
        *(f"    {example}" for example in mode.examples),
    ]
    return lines


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:.3g}"


def write_plot(report: BenchReport, file: str) -> None:
    """Draw whole requests by second, the cause shaded, as SVG.

    :param report: of one scenario.
    :param file: path of the picture.
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
    axes.set_ylabel("whole requests a second")
    axes.set_title(f"{report.scenario}, {report.firm}, seed {report.seed}", loc="left")
    figure.savefig(file, format="svg")
    pyplot.close(figure)

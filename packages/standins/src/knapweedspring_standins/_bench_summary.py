"""Median and range of the bench's figures over several seeds."""

import statistics
from dataclasses import dataclass

from knapweedspring_standins._bench_report import BenchReport, ModeReport

__all__ = ["BenchSeries", "Spread", "series_text", "summarise"]


@dataclass(frozen=True, slots=True)
class Spread:
    """Median and range of one figure over the seeds, under one policy mode."""

    #: Policy mode.
    mode: str
    #: Name of the figure.
    figure: str
    #: Median over the runs that have the figure; None when no run has it.
    median: float | None
    #: Smallest value; None when no run has the figure.
    lowest: float | None
    #: Largest value; None when no run has the figure.
    highest: float | None
    #: Number of runs without the figure, such as the recovery time of a run that did
    #: not recover.
    n_missing: int


@dataclass(frozen=True, slots=True)
class BenchSeries:
    """Reports of one scenario with several seeds, and their summary."""

    #: One report for each seed.
    reports: tuple[BenchReport, ...]
    #: Median and range of each figure under each policy mode.
    spreads: tuple[Spread, ...]


def summarise(reports: tuple[BenchReport, ...]) -> BenchSeries:
    """Compute medians and ranges over the reports of one scenario.

    :param reports: one report for each seed.
    :return: the reports, with the median and range of each figure under each mode.
    """
    by_mode: dict[str, list[ModeReport]] = {}
    for report in reports:
        for mode in report.modes:
            by_mode.setdefault(mode.mode, []).append(mode)
    spreads: list[Spread] = []
    for name, runs in by_mode.items():
        figures = [_figures_of(run) for run in runs]
        for figure in figures[0]:
            spreads.append(_spread(name, figure, [run[figure] for run in figures]))
    return BenchSeries(reports, tuple(spreads))


def series_text(series: BenchSeries) -> str:
    """Format the medians and ranges as a text table."""
    lines = [f"{'policy':13}{'figure':34}{'median':>9}{'lowest':>9}{'highest':>9}"]
    for spread in series.spreads:
        missing = f"  missing in {spread.n_missing}" if spread.n_missing else ""
        lines.append(
            f"{spread.mode:13}{spread.figure:34}{_format_number(spread.median):>9}"
            f"{_format_number(spread.lowest):>9}{_format_number(spread.highest):>9}{missing}"
        )
    return "\n".join(lines)


def _figures_of(run: ModeReport) -> dict[str, float | None]:
    figures: dict[str, float | None] = {
        f"{f.phase}: part whole": f.success_ratio for f in run.phases if f.kind == "all"
    }
    figures |= {
        "recovery, s": run.recovery_s,
        "goodput at surge / at saturation": run.goodput_part_of_saturation,
        "top kind whole during the cause": run.top_kind_part,
        "attempts a request": run.attempts.attempts_per_request,
        "attempts beyond the first, most": float(run.n_extra_attempts_max),
        "wasted part of the work": run.attempts.part_wasted,
        "violations": float(sum(run.violations.values())),
    }
    return figures


def _spread(mode: str, figure: str, values: list[float | None]) -> Spread:
    measured = [value for value in values if value is not None]
    return Spread(
        mode=mode,
        figure=figure,
        median=statistics.median(measured) if measured else None,
        lowest=min(measured, default=None),
        highest=max(measured, default=None),
        n_missing=len(values) - len(measured),
    )


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"

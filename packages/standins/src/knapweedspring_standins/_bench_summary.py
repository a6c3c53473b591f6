"""Median and range of the bench's figures over several seeds."""

import statistics
from dataclasses import dataclass

from knapweedspring_standins._bench_report import BenchReport, ModeReport

__all__ = ["BenchSeries", "Spread", "series_text", "summarise"]


@dataclass(frozen=True, slots=True)
class Spread:
    """One figure over the seeds of one policy."""

    #: Policy mode.
    mode: str
    #: Name of the figure.
    figure: str
    #: Median of the runs that have the figure; None when none has.
    median: float | None
    #: Smallest.
    lowest: float | None
    #: Largest.
    highest: float | None
    #: Runs that lack the figure, such as those that did not recover.
    n_missing: int


@dataclass(frozen=True, slots=True)
class BenchSeries:
    """One scenario with several seeds."""

    #: One report a seed.
    reports: tuple[BenchReport, ...]
    #: Median and range of the figures.
    spreads: tuple[Spread, ...]


def summarise(reports: tuple[BenchReport, ...]) -> BenchSeries:
    """Reduce reports of one scenario to medians and ranges."""
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
    """A table of the medians and ranges."""
    lines = [f"{'policy':13}{'figure':34}{'median':>9}{'lowest':>9}{'highest':>9}"]
    for spread in series.spreads:
        missing = f"  missing in {spread.n_missing}" if spread.n_missing else ""
        lines.append(
            f"{spread.mode:13}{spread.figure:34}{_text(spread.median):>9}"
            f"{_text(spread.lowest):>9}{_text(spread.highest):>9}{missing}"
        )
    return "\n".join(lines)


def _figures_of(run: ModeReport) -> dict[str, float | None]:
    figures: dict[str, float | None] = {
        f"{f.phase}: part whole": f.part_succeeded
        for f in run.phases
        if f.kind == "all"
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
    present = [value for value in values if value is not None]
    return Spread(
        mode=mode,
        figure=figure,
        median=statistics.median(present) if present else None,
        lowest=min(present, default=None),
        highest=max(present, default=None),
        n_missing=len(values) - len(present),
    )


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"

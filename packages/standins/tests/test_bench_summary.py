"""Guards against bench summaries and reports that misrepresent the runs.

A figure that some runs lack, such as the recovery time of a run that did not recover,
must be left out of the median and counted as missing. The text and the plot must show
the run that they report.
"""

from knapweedspring_standins._analysis import (
    AttemptFigures,
    LatencyFigures,
    PhaseFigures,
    Window,
)
from knapweedspring_standins._bench_report import (
    BenchReport,
    ModeReport,
    NodeCost,
    report_text,
    write_plot,
)
from knapweedspring_standins._bench_summary import series_text, summarise


def report(seed, recovery_s, n_succeeded):
    mode = ModeReport(
        mode="protect",
        phases=(PhaseFigures("base", "all", 10, n_succeeded, 8.0),),
        latencies=(LatencyFigures("lookup", 10, 1.0, 2.0, 3.0, 4.0),),
        attempts=AttemptFigures(30, 3.0, 12.0, 0.25, 1.5),
        n_extra_attempts_max=2,
        recovery_s=recovery_s,
        goodput_part_of_saturation=None,
        top_kind_part=1.0,
        violations={"no-duplicate": seed},
        examples=(),
        answers={"whole": 10},
        top_kind_failures={},
        n_non_repeatable=5,
        n_not_run=1,
        n_late=0,
        cost=NodeCost(0.1, 0.2, 60_000),
        goodput_by_second=(8, 9),
    )
    windows = (Window("base", 0.0, 2.0),)
    return BenchReport(
        "surge", "boerewors", seed, "unscaled", 10, 0.5, windows, ("base",), (mode,)
    )


def spread_of(series, figure):
    return next(spread for spread in series.spreads if spread.figure == figure)


def test_median_and_range_leave_out_missing_figures():
    runs = [(1, 4.0, 10), (2, None, 8), (3, 1.0, 9)]
    series = summarise(tuple(report(*run) for run in runs))
    recovery = spread_of(series, "recovery, s")
    assert (recovery.median, recovery.lowest, recovery.highest) == (2.5, 1.0, 4.0)
    assert recovery.n_missing == 1
    assert spread_of(series, "base: part whole").median == 0.9
    assert spread_of(series, "violations").highest == 3.0
    surge = spread_of(series, "goodput at surge / at saturation")
    assert (surge.median, surge.n_missing) == (None, 3)
    assert "missing in 1" in series_text(series)


def test_text_and_plot_show_the_run(tmp_path):
    first_report = report(1, 4.0, 10)
    text = report_text(first_report)
    for word in ("surge, boerewors, seed 1", "policy protect", "lookup", "recovery 4"):
        assert word in text
    file = tmp_path / "surge.svg"
    write_plot(first_report, str(file))
    svg = file.read_text()
    assert svg.startswith("<?xml") and "protect" in svg

"""Subcommand ``bench`` of the stand-ins' command line."""

import argparse

import msgspec

from knapweedspring_core import PolicyMode
from knapweedspring_standins._bench_report import report_text, write_plot
from knapweedspring_standins._bench_summary import series_text, summarise

__all__ = ["add_bench"]

FIRM_NAMES = ("boerewors", "pen-care")
SCENARIO_NAMES = (
    "steady",
    "surge",
    "slow-deep",
    "platform-outage",
    "partition",
    "rolling",
    "surge-partition",
    "latency",
)


def add_bench(commands: "argparse._SubParsersAction") -> None:
    """Add the subcommand ``bench``.

    :param commands: subcommands of the command line's parser.
    """
    parser = commands.add_parser("bench", help="run a scenario under both policies")
    parser.add_argument("--scenario", choices=SCENARIO_NAMES, required=True)
    parser.add_argument("--firm", choices=FIRM_NAMES, default="boerewors")
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--mode", choices=("both", *PolicyMode), default="both")
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="length of each level of the latency scenario",
    )
    parser.add_argument(
        "--plot", default="", metavar="FILE.svg", help="plot the runs of the first seed"
    )
    parser.set_defaults(run=_run_bench)


def _run_bench(options: argparse.Namespace) -> int:
    from knapweedspring_standins._bench import run_bench

    if options.scenario == "latency":
        return _run_latency(options)
    both = (PolicyMode.PROTECT, PolicyMode.PASSTHROUGH)
    modes = both if options.mode == "both" else (PolicyMode(options.mode),)
    reports = tuple(
        run_bench(options.scenario, options.firm, seed, modes) for seed in options.seed
    )
    if options.plot:
        write_plot(reports[0], options.plot)
    series = summarise(reports)
    if options.output == "json":
        print(msgspec.json.format(msgspec.json.encode(series)).decode())
    else:
        print("\n\n".join(report_text(report) for report in reports))
        print()
        print(series_text(series))
    return 0


def _run_latency(options: argparse.Namespace) -> int:
    from knapweedspring_standins._latency import latency_text, run_latency

    report = run_latency(options.seed[0], options.seconds)
    if options.output == "json":
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        print(latency_text(report))
    return 0

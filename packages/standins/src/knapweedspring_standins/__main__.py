"""Command line of the stand-ins: ``python -m knapweedspring_standins``."""

import argparse
import sys

from knapweedspring_standins._bench_command import add_bench
from knapweedspring_standins._upstream_settings import CallRule, UpstreamSettings

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand.

    :param arguments: command line without the program's name.
    :return: the exit code.
    """
    parser = argparse.ArgumentParser(prog="python -m knapweedspring_standins")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_platform(commands)
    _add_upstream(commands)
    _add_callers(commands)
    add_bench(commands)
    _add_demo(commands)
    options = parser.parse_args(arguments)
    return options.run(options)


def _add_platform(commands: "argparse._SubParsersAction") -> None:
    parser = commands.add_parser("platform", help="the platform's object API")
    parser.add_argument("--port", type=int, default=0)
    parser.set_defaults(run=_run_platform)


def _run_platform(options: argparse.Namespace) -> int:
    from knapweedspring_standins._platform import run_platform

    run_platform(options.port)
    return 0


def _add_upstream(commands: "argparse._SubParsersAction") -> None:
    parser = commands.add_parser("upstream", help="one upstream of a service")
    defaults = UpstreamSettings(service="")
    parser.add_argument("--service", required=True)
    parser.add_argument("--node-admin", default="", metavar="IP:PORT")
    parser.add_argument("--node-calls", default="", metavar="IP:PORT")
    parser.add_argument("--slots", type=int, default=defaults.n_slots)
    parser.add_argument("--connections", type=int, default=defaults.n_connections)
    parser.add_argument("--backlog", type=int, default=defaults.n_backlog)
    parser.add_argument("--service-ms", type=float, default=defaults.service_ms)
    parser.add_argument("--spread", type=float, default=defaults.service_spread)
    parser.add_argument(
        "--calls",
        action="append",
        default=[],
        type=CallRule.parse,
        metavar="[/PREFIX=]SERVICE/PATH",
        help="child call for requests below the prefix; may be repeated",
    )
    parser.add_argument("--concurrent", action="store_true")
    parser.add_argument("--child-repeats", type=int, default=0)
    parser.add_argument("--starting-ms", type=float, default=0.0)
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--cold-factor", type=float, default=defaults.cold_factor)
    parser.add_argument("--load-lag-ms", type=float, default=defaults.load_lag_ms)
    parser.add_argument(
        "--stop-deadline-ms", type=float, default=defaults.stop_deadline_ms
    )
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--journal-file", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.set_defaults(run=_run_upstream)


def _run_upstream(options: argparse.Namespace) -> int:
    from knapweedspring_standins._upstream import run_upstream

    settings = UpstreamSettings(
        service=options.service,
        node_admin=options.node_admin,
        node_calls=options.node_calls,
        n_slots=options.slots,
        n_connections=options.connections,
        service_ms=options.service_ms,
        service_spread=options.spread,
        calls=tuple(options.calls),
        concurrent=options.concurrent,
        n_child_repeats=options.child_repeats,
        starting_ms=options.starting_ms,
        cold_ms=options.cold_ms,
        cold_factor=options.cold_factor,
        load_lag_ms=options.load_lag_ms,
        n_backlog=options.backlog,
        stop_deadline_ms=options.stop_deadline_ms,
        seed=options.seed,
        journal_file=options.journal_file,
        port=options.port,
    )
    run_upstream(settings)
    return 0


def _add_callers(commands: "argparse._SubParsersAction") -> None:
    parser = commands.add_parser("callers", help="callers that run a load plan")
    parser.add_argument("--plan", required=True, metavar="FILE")
    parser.add_argument("--result", required=True, metavar="FILE")
    parser.set_defaults(run=_run_callers)


def _run_callers(options: argparse.Namespace) -> int:
    from knapweedspring_standins._callers import run_callers

    run_callers(options.plan, options.result)
    return 0


def _add_demo(commands: "argparse._SubParsersAction") -> None:
    parser = commands.add_parser(
        "demo", help="run the main functions end to end on a small mesh"
    )
    parser.set_defaults(run=_run_demo)


def _run_demo(_: argparse.Namespace) -> int:
    from knapweedspring_standins._demo import print_demo

    return print_demo()


if __name__ == "__main__":
    sys.exit(main())

"""Command line: parses the arguments and runs the command."""

import argparse
import sys
from collections.abc import Callable, Sequence
from typing import TypeAlias

from result import Err, Result

from knapweedspring_ctl._apply import ApplyOptions, apply_file
from knapweedspring_ctl._check import ROLES, check_settings
from knapweedspring_ctl._drain import DrainOptions, drain_node
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._explain import explain_request
from knapweedspring_ctl._get import diff_file, get_objects
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._settings import SETTINGS_VARIABLE, CtlSettings, find_settings
from knapweedspring_ctl._status import show_node_status, show_status
from knapweedspring_ctl._timeline import (
    TimelineFormat,
    TimelineOptions,
    show_timeline,
)

__all__ = ["main"]

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_STOP_DEADLINE_MS = 30_000

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"
Command = Callable[
    [argparse.Namespace, CtlSettings, Output], Result[ExitCode, CtlError]
]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name; None to use the
        arguments of the process.
    :return: the exit code; see docs/CTL.md.
    """
    options = _parser().parse_args(arguments)
    output = Output(as_json=options.output == "json")
    found = find_settings(options.settings, options.platform, tuple(options.node))
    if isinstance(found, Err):
        return output.write_error(found.err_value)
    command: Command = options.command
    try:
        exit_result = command(options, found.ok_value, output)
    except BrokenPipeError:
        # The reader of the output, such as ``head``, closed the pipe early.
        sys.stderr.close()
        return ExitCode.OK
    if isinstance(exit_result, Err):
        return output.write_error(exit_result.err_value)
    return exit_result.ok_value


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="knapweedspringctl",
        description="Change the declarations of a mesh and show its state.",
    )
    common = _common_options()
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_apply(commands, common)
    _add_get_and_diff(commands, common)
    _add_status(commands, common)
    _add_drain(commands, common)
    _add_explain(commands, common)
    _add_timeline(commands, common)
    _add_check_settings(commands, common)
    return parser


def _common_options() -> argparse.ArgumentParser:
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--settings",
        metavar="FILE",
        help=f"settings file; by default ${SETTINGS_VARIABLE}",
    )
    common.add_argument(
        "--platform", metavar="IP:PORT", help="address of the platform's object API"
    )
    common.add_argument(
        "--node",
        metavar="IP:PORT",
        action="append",
        default=[],
        help="address of a node's read-only pages; may be repeated",
    )
    common.add_argument(
        "--output", choices=("text", "json"), default="text", help="format of the data"
    )
    return common


def _add_apply(commands: Commands, common: argparse.ArgumentParser) -> None:
    apply = commands.add_parser(
        "apply", parents=[common], help="write the declarations of a file"
    )
    apply.add_argument("file", help="JSON with comments: one object or a list")
    apply.add_argument(
        "--dry-run", action="store_true", help="show the changes, write nothing"
    )
    _add_wait_options(apply)
    apply.set_defaults(command=_run_apply)


def _add_get_and_diff(commands: Commands, common: argparse.ArgumentParser) -> None:
    get = commands.add_parser("get", parents=[common], help="show declarations")
    get.add_argument("selector", nargs="?", help="Kind or Kind/name; all if omitted")
    get.set_defaults(
        command=lambda options, settings, output: get_objects(
            settings, options.selector, output
        )
    )
    diff = commands.add_parser(
        "diff", parents=[common], help="show what applying a file would change"
    )
    diff.add_argument("file", help="JSON with comments: one object or a list")
    diff.set_defaults(
        command=lambda options, settings, output: diff_file(
            settings, options.file, output
        )
    )


def _add_status(commands: Commands, common: argparse.ArgumentParser) -> None:
    status = commands.add_parser(
        "status",
        parents=[common],
        help="show every data centre's status, or one node's with --node",
    )
    status.set_defaults(command=_run_status)


def _add_drain(commands: Commands, common: argparse.ArgumentParser) -> None:
    drain = commands.add_parser(
        "drain", parents=[common], help="declare that the upstream of a node leaves"
    )
    drain.add_argument("node_id", metavar="NODE", help="name of the node")
    drain.add_argument(
        "--undo", action="store_true", help="declare that it joins again"
    )
    drain.add_argument(
        "--stop-deadline-ms",
        type=int,
        default=DEFAULT_STOP_DEADLINE_MS,
        metavar="MS",
        help="time for in-flight work and live tickets (default %(default)s)",
    )
    _add_wait_options(drain)
    drain.set_defaults(command=_run_drain)


def _add_explain(commands: Commands, common: argparse.ArgumentParser) -> None:
    explain = commands.add_parser(
        "explain", parents=[common], help="show the events of a request on all nodes"
    )
    explain.add_argument("request_id", help="value of Kws-Request-Id")
    explain.set_defaults(
        command=lambda options, settings, output: explain_request(
            settings, options.request_id, output
        )
    )


def _add_timeline(commands: Commands, common: argparse.ArgumentParser) -> None:
    timeline = commands.add_parser(
        "timeline", parents=[common], help="merge the events of all nodes"
    )
    timeline.add_argument(
        "--format",
        choices=[str(output_format) for output_format in TimelineFormat],
        default=None,
        help="text, jsonl (one JSON object a line) or html (a page with a chart)",
    )
    timeline.add_argument(
        "--kind",
        default="",
        metavar="PREFIX",
        help="only events whose kind begins with PREFIX",
    )
    timeline.add_argument(
        "--file",
        action="append",
        default=[],
        metavar="FILE",
        help="saved /events page to read instead of the nodes' pages; may be repeated",
    )
    timeline.add_argument(
        "--newest",
        type=_positive_number,
        metavar="N",
        help="only the newest N events; html shows 5000 by default",
    )
    timeline.set_defaults(command=_run_timeline)


def _add_check_settings(commands: Commands, common: argparse.ArgumentParser) -> None:
    check = commands.add_parser(
        "check-settings", parents=[common], help="validate a file without applying it"
    )
    check.add_argument("file", help="JSON with comments")
    check.add_argument(
        "--role",
        choices=ROLES,
        default=ROLES[0],
        help="what the file is for (default %(default)s)",
    )
    check.set_defaults(
        command=lambda options, _, output: check_settings(
            options.file, options.role, output
        )
    )


def _add_wait_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the change has taken effect everywhere",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="seconds to wait at most (default %(default)s)",
    )


def _run_apply(
    options: argparse.Namespace, settings: CtlSettings, output: Output
) -> Result[ExitCode, CtlError]:
    apply_options = ApplyOptions(
        options.file, options.dry_run, options.wait, options.timeout
    )
    return apply_file(settings, apply_options, output)


def _run_drain(
    options: argparse.Namespace, settings: CtlSettings, output: Output
) -> Result[ExitCode, CtlError]:
    drain_options = DrainOptions(
        node_id=options.node_id,
        undo=options.undo,
        stop_deadline_ms=options.stop_deadline_ms,
        wait=options.wait,
        timeout_s=options.timeout,
    )
    return drain_node(settings, drain_options, output)


def _positive_number(text: str) -> int:
    """Parse a positive number from the command line.

    :raises argparse.ArgumentTypeError: when the text is none.
    """
    if not text.isdecimal() or int(text) == 0:
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive number")
    return int(text)


def _run_timeline(
    options: argparse.Namespace, settings: CtlSettings, output: Output
) -> Result[ExitCode, CtlError]:
    as_json = options.output == "json"
    default = TimelineFormat.JSON_LINES if as_json else TimelineFormat.TEXT
    output_format = TimelineFormat(options.format or default)
    timeline_options = TimelineOptions(
        output_format, options.kind, tuple(options.file), options.newest
    )
    return show_timeline(settings, timeline_options, output)


def _run_status(
    options: argparse.Namespace, settings: CtlSettings, output: Output
) -> Result[ExitCode, CtlError]:
    if options.node:
        return show_node_status(options.node[0], output)
    return show_status(settings, output)

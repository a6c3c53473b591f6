"""Command line: reads the arguments and runs the command."""

import argparse
import sys
from collections.abc import Callable, Sequence

from result import Err, Result

from knapweedspring_ctl._apply import ApplyOptions, apply_file
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._get import diff_file, get_objects
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._settings import SETTINGS_VARIABLE, CtlSettings, find_settings
from knapweedspring_ctl._status import show_node_status, show_status

__all__ = ["main"]

DEFAULT_TIMEOUT_S = 30.0

Command = Callable[
    [argparse.Namespace, CtlSettings, Output], Result[ExitCode, CtlError]
]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name.
    :return: the exit code; see docs/CTL.md.
    """
    options = _parser().parse_args(arguments)
    output = Output(as_json=options.output == "json")
    found = find_settings(options.settings, options.platform, tuple(options.node))
    if isinstance(found, Err):
        return output.fail(found.err_value)
    command: Command = options.command
    try:
        done = command(options, found.ok_value, output)
    except BrokenPipeError:
        # The reader of a pipe, such as head, has seen enough.
        sys.stderr.close()
        return ExitCode.OK
    if isinstance(done, Err):
        return output.fail(done.err_value)
    return done.ok_value


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="knapweedspringctl",
        description="Declare what a mesh does and see what it is doing.",
    )
    common = _common_options()
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_apply(commands, common)
    _add_get(commands, common)
    _add_status(commands, common)
    return parser


def _common_options() -> argparse.ArgumentParser:
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--settings", metavar="FILE", help=f"or ${SETTINGS_VARIABLE}")
    common.add_argument("--platform", metavar="IP:PORT", help="the object API")
    common.add_argument(
        "--node",
        metavar="IP:PORT",
        action="append",
        default=[],
        help="read-only pages of a node; may be repeated",
    )
    common.add_argument(
        "--output", choices=("text", "json"), default="text", help="form of the data"
    )
    return common


def _add_apply(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    apply = commands.add_parser(
        "apply", parents=[common], help="write the declarations of a file"
    )
    apply.add_argument("file", help="JSON with comments: one object or a list")
    apply.add_argument(
        "--dry-run", action="store_true", help="show the changes, write nothing"
    )
    _add_wait(apply)
    apply.set_defaults(command=_run_apply)


def _add_get(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
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


def _add_status(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    common: argparse.ArgumentParser,
) -> None:
    status = commands.add_parser(
        "status",
        parents=[common],
        help="show every data centre's status, or one node's with --node",
    )
    status.set_defaults(command=_run_status)


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait", action="store_true", help="until it is in force in every data centre"
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
    wanted = ApplyOptions(options.file, options.dry_run, options.wait, options.timeout)
    return apply_file(settings, wanted, output)


def _run_status(
    options: argparse.Namespace, settings: CtlSettings, output: Output
) -> Result[ExitCode, CtlError]:
    if options.node:
        return show_node_status(options.node[0], output)
    return show_status(settings, output)

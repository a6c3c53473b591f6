"""``drain``: declares that the upstream of a node leaves."""

import time
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import (
    DataCentreStatus,
    Intent,
    ObjectKey,
    Platform,
    PlatformRefused,
    ResolvingWriter,
    UpstreamIntent,
    WriteConflict,
)
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._files import canonical_json
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._plan import canonical_content
from knapweedspring_ctl._platform_access import (
    open_platform,
    operator_name,
    read_declarations,
    read_statuses,
)
from knapweedspring_ctl._settings import CtlSettings

__all__ = ["DrainOptions", "drain_node"]

WRITE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class DrainOptions:
    """Options of ``drain``."""

    #: Name of the node.
    node_id: str
    #: Whether to declare that the upstream joins again instead of leaving.
    undo: bool
    #: Longest time, in ms, that a stopping node waits for calls in flight and for
    #: tickets that can still be used.
    stop_deadline_ms: int
    #: Whether to wait until the node has no unfinished work.
    wait: bool
    #: Longest wait in seconds.
    timeout_s: float


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Result of ``drain``."""

    #: Name of the node.
    node_id: str
    #: Version of the stored ``UpstreamIntent``.
    version: int
    #: Whether the node has no unfinished work; None when the command did not wait.
    drained: bool | None = None
    #: Number of unfinished requests, child calls and usable tickets in the last report;
    #: None when no report says that the node drains.
    n_unfinished: int | None = None


def drain_node(
    settings: CtlSettings, options: DrainOptions, output: Output
) -> Result[ExitCode, CtlError]:
    """Write the ``UpstreamIntent`` of a node; wait for its drain if the options say so.

    :return: the exit code, or the error that ended the command.
    """
    opened = open_platform(settings)
    if isinstance(opened, Err):
        return opened
    platform = opened.ok_value
    written = _write_intent(settings, platform, options)
    if isinstance(written, Err):
        return written
    version = written.ok_value
    if not options.wait or options.undo:
        output.write_data(
            DrainReport(options.node_id, version),
            f"UpstreamIntent/{options.node_id} version {version}",
        )
        return Ok(ExitCode.OK)
    report = _wait_until_drained(platform, options, version)
    output.write_data(report, _describe_drain(report))
    return Ok(ExitCode.OK if report.drained else ExitCode.TIMEOUT)


def _write_intent(
    settings: CtlSettings, platform: Platform, options: DrainOptions
) -> Result[int, CtlError]:
    key = ObjectKey("UpstreamIntent", options.node_id)
    read = read_declarations(platform)
    if isinstance(read, Err):
        return read
    stored = read.ok_value.get(key)
    intent = Intent.JOINING if options.undo else Intent.LEAVING
    content = canonical_json(UpstreamIntent(intent, options.stop_deadline_ms))
    if stored is not None and canonical_content(stored.content) == content:
        return Ok(stored.version)
    writer = ResolvingWriter(platform, operator_name(settings), WRITE_TIMEOUT_S)
    version = 0 if stored is None else stored.version
    written = writer.put(key, content, version)
    if isinstance(written, Ok):
        return Ok(written.ok_value.version)
    error = written.err_value
    if isinstance(error, WriteConflict):
        current_content = "deleted" if error.current is None else error.current.content
        message = (
            f"another operator changed {key} meanwhile; it is now {current_content}"
        )
        return Err(CtlError(ExitCode.CONFLICT, message))
    if isinstance(error, PlatformRefused):
        return Err(CtlError(ExitCode.INVALID, f"the platform refuses {key}: {error}"))
    message = f"it is not known whether {key} was written: {error.detail}"
    return Err(CtlError(ExitCode.UNSURE, message))


def _wait_until_drained(
    platform: Platform, options: DrainOptions, version: int
) -> DrainReport:
    deadline_at = time.monotonic() + options.timeout_s
    n_unfinished: int | None = None
    while True:
        read = read_statuses(platform)
        if isinstance(read, Ok):
            n_unfinished = _read_n_unfinished(read.ok_value, options.node_id)
            if n_unfinished == 0:
                return DrainReport(options.node_id, version, True, 0)
        if time.monotonic() + POLL_INTERVAL_S > deadline_at:
            return DrainReport(options.node_id, version, False, n_unfinished)
        time.sleep(POLL_INTERVAL_S)


def _read_n_unfinished(
    statuses: tuple[DataCentreStatus, ...], node_id: str
) -> int | None:
    """Return the number of unfinished requests and tickets of a draining node.

    :return: the number, or None while no data centre reports that the node drains.
    """
    for status in statuses:
        for part in status.parts:
            for drain in part.draining:
                if drain.node_id == node_id:
                    return drain.n_unfinished
    return None


def _describe_drain(report: DrainReport) -> str:
    if report.drained:
        return f"{report.node_id} has no unfinished work"
    if report.n_unfinished is None:
        return f"no data centre reports that {report.node_id} drains"
    return (
        f"{report.node_id} has {report.n_unfinished} unfinished requests, child calls "
        "or tickets"
    )

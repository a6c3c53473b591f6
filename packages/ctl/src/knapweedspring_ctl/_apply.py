"""``apply``: writes the declarations of a file."""

from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import (
    ObjectKey,
    ObjectRecord,
    Platform,
    PlatformRefused,
    ResolvingWriter,
    WriteConflict,
    WriteError,
)
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._files import load_declarations
from knapweedspring_ctl._output import Output, format_table
from knapweedspring_ctl._plan import (
    Change,
    PlannedChange,
    describe_difference,
    plan_changes,
)
from knapweedspring_ctl._platform_access import (
    open_platform,
    operator_name,
    read_declarations,
)
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_ctl._wait import WaitResult, wait_until_in_force

__all__ = ["ApplyOptions", "apply_file", "write_wait_result"]

WRITE_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of ``apply``."""

    #: Path of the declaration file.
    file: str
    #: Whether to show what would change and to write nothing.
    dry_run: bool
    #: Whether to wait until the change is in force in every data centre.
    wait: bool
    #: Longest wait in seconds.
    timeout_s: float


@dataclass(frozen=True, slots=True)
class AppliedObject:
    """Result for one object of the file."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: The change that was made, or that a dry run would make.
    change: Change
    #: Version that is stored after the command, 0 when there is none.
    version: int
    #: Version that was stored before the command, 0 when there was none.
    replaced_version: int


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """Result of ``apply``."""

    #: Result for each object that was processed, in the order of the file.
    objects: tuple[AppliedObject, ...]
    #: State of the data centres after the wait, None without ``--wait``.
    wait: WaitResult | None = None


def apply_file(
    settings: CtlSettings, options: ApplyOptions, output: Output
) -> Result[ExitCode, CtlError]:
    """Write a file's declarations, each by a conditional write.

    If any object of the file is invalid, or is based on another version than the
    stored one, nothing is written.

    :return: the exit code, or the error that ended the command.
    """
    declared = load_declarations(options.file)
    if isinstance(declared, Err):
        return declared
    opened = open_platform(settings)
    if isinstance(opened, Err):
        return opened
    platform = opened.ok_value
    stored = read_declarations(platform)
    if isinstance(stored, Err):
        return stored
    changes = plan_changes(declared.ok_value, stored.ok_value)
    conflicts = [one for one in changes if one.change is Change.CONFLICT]
    if conflicts:
        return Err(_conflict_error(conflicts))
    if options.dry_run:
        _write_report(
            output, ApplyReport(tuple(_applied_object(one) for one in changes))
        )
        return Ok(ExitCode.OK)
    return _write_changes(settings, options, output, platform, changes)


def write_wait_result(output: Output, result: WaitResult) -> ExitCode:
    """Write the result of a wait to standard error, with the data centres that lag.

    :return: ``OK`` when the versions are in force in every data centre, otherwise
        ``TIMEOUT``.
    """
    for group in result.unreachable:
        output.write_message(
            f"not counted in {group.data_centre}: {group.n_nodes} unreachable "
            f"({', '.join(group.nodes)}); if alive, they may still apply older versions"
        )
    if result.lags:
        output.write_message(f"not in force everywhere after {result.elapsed_s:.1f} s:")
        for lag in result.lags:
            nodes = f" (nodes {', '.join(lag.nodes)})" if lag.nodes else ""
            output.write_message(
                f"  {lag.data_centre}: {lag.declaration} version {lag.version}: "
                f"{lag.state}{nodes}"
            )
        return ExitCode.TIMEOUT
    if not result.data_centres:
        output.write_message("no data centre has a status object; is a node running?")
        return ExitCode.TIMEOUT
    names = ", ".join(result.data_centres)
    output.write_message(f"in force in {names} after {result.elapsed_s:.1f} s")
    return ExitCode.OK


def _write_changes(
    settings: CtlSettings,
    options: ApplyOptions,
    output: Output,
    platform: Platform,
    changes: tuple[PlannedChange, ...],
) -> Result[ExitCode, CtlError]:
    writer = ResolvingWriter(platform, operator_name(settings), WRITE_TIMEOUT_S)
    applied: list[AppliedObject] = []
    versions: dict[ObjectKey, int] = {}
    for planned in changes:
        written = _write_object(writer, planned)
        if isinstance(written, Err):
            _write_report(output, ApplyReport(tuple(applied)))
            return Err(_write_error(planned, written.err_value))
        version = planned.stored_version
        if written.ok_value is not None:
            version = written.ok_value.version
            _report_replaced(output, planned)
        applied.append(_applied_object(planned, version))
        versions[planned.declared.key] = version
    if not options.wait:
        _write_report(output, ApplyReport(tuple(applied)))
        return Ok(ExitCode.OK)
    waited = wait_until_in_force(
        platform, versions, settings.data_centres, options.timeout_s
    )
    _write_report(output, ApplyReport(tuple(applied), waited))
    return Ok(write_wait_result(output, waited))


def _write_object(
    writer: ResolvingWriter, planned: PlannedChange
) -> Result[ObjectRecord | None, WriteError]:
    """Write or delete one object.

    :return: the stored record, None when the object needs no change, or an error.
    """
    declared = planned.declared
    if planned.change is Change.UNCHANGED:
        return Ok(None)
    if planned.change is Change.DELETE:
        return writer.delete(declared.key, planned.stored_version)
    return writer.put(declared.key, declared.content, planned.stored_version)


def _applied_object(
    planned: PlannedChange, version: int | None = None
) -> AppliedObject:
    return AppliedObject(
        kind=planned.declared.key.kind,
        name=planned.declared.key.name,
        change=planned.change,
        version=planned.stored_version if version is None else version,
        replaced_version=planned.stored_version,
    )


def _report_replaced(output: Output, planned: PlannedChange) -> None:
    """Show the content that a write replaced, so that no content is lost silently."""
    if planned.stored is not None:
        difference = describe_difference(planned.stored, planned.declared)
        output.write_message(f"replaced {difference}")


def _conflict_error(conflicts: list[PlannedChange]) -> CtlError:
    shown = "\n".join(
        f"{describe_difference(one.stored, one.declared)}\n"
        f"  yours is based on version {one.declared.base_version}"
        for one in conflicts
    )
    message = (
        "another change came first; nothing was written. Read it with 'get', merge "
        f"the two and apply again:\n{shown}"
    )
    return CtlError(ExitCode.CONFLICT, message)


def _write_error(planned: PlannedChange, error: WriteError) -> CtlError:
    declared = planned.declared
    if isinstance(error, WriteConflict):
        shown = describe_difference(error.current, declared)
        message = f"another change came first; this object was not written:\n{shown}"
        return CtlError(ExitCode.CONFLICT, message)
    if isinstance(error, PlatformRefused):
        message = f"the platform refuses {declared.key}: {error.detail}"
        return CtlError(ExitCode.INVALID, message)
    shown = describe_difference(error.current, declared)
    # Each write has a writer id of its own, so a stored object with this id shows that
    # the write took effect. Any other result of 'get' leaves that open: for example, a
    # later write may have replaced this one.
    message = (
        f"it is not known whether {declared.key} was written ({error.detail}); look "
        f"for writer {error.writer} with 'get' when the platform is available "
        f"again:\n{shown}"
    )
    return CtlError(ExitCode.UNSURE, message)


def _write_report(output: Output, report: ApplyReport) -> None:
    rows = [
        (one.change, f"{one.kind}/{one.name}", str(one.version))
        for one in report.objects
    ]
    header = ("CHANGE", "DECLARATION", "VERSION")
    output.write_data(report, format_table(header, rows))

"""``status``: shows the data centres' status objects, or one node's page."""

from result import Err, Ok, Result

from knapweedspring_core import (
    DataCentreStatus,
    DeclarationRollout,
    ReporterStatus,
    StatusPage,
)
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._nodes import NodeClient
from knapweedspring_ctl._output import Output, format_table
from knapweedspring_ctl._platform_access import open_platform, read_statuses
from knapweedspring_ctl._settings import CtlSettings

__all__ = ["show_node_status", "show_status"]


def show_status(settings: CtlSettings, output: Output) -> Result[ExitCode, CtlError]:
    """Show the status object of every data centre."""
    opened = open_platform(settings)
    if isinstance(opened, Err):
        return opened
    read = read_statuses(opened.ok_value)
    if isinstance(read, Err):
        return read
    statuses = read.ok_value
    if not statuses:
        message = "no data centre has a status object; is a node running?"
        return Err(CtlError(ExitCode.NOT_FOUND, message))
    output.write_data(
        statuses, "\n\n".join(_describe_data_centre(one) for one in statuses)
    )
    return Ok(ExitCode.OK)


def show_node_status(address: str, output: Output) -> Result[ExitCode, CtlError]:
    """Show one node's status page.

    :param address: ``ip:port`` of the node's read-only pages.
    """
    read = NodeClient(address).read_status()
    if isinstance(read, Err):
        return read
    output.write_data(read.ok_value, _describe_node(read.ok_value))
    return Ok(ExitCode.OK)


def _describe_data_centre(status: DataCentreStatus) -> str:
    lines = [f"data centre {status.data_centre}"]
    if len(status.parts) > 1:
        lines.append(
            "  several reporters: the data centre is partitioned, or a reporter was "
            "just replaced"
        )
    for part in status.parts:
        lines += _describe_part(part)
    return "\n".join(lines)


def _describe_part(part: ReporterStatus) -> list[str]:
    lines = [
        f"  reporter {part.reporter}, report {part.sequence}: "
        f"{part.n_reporting} of {part.n_nodes} nodes report"
    ]
    if part.n_unreachable:
        names = ", ".join(part.unreachable)
        lines.append(f"  unreachable: {part.n_unreachable} ({names})")
    lines += [
        f"  draining: {one.node_id}, {one.n_unfinished} unfinished"
        for one in part.draining
    ]
    lines += [
        f"  shedding: {one.service} at {one.n_shedding} of {one.n_gates} gates, "
        f"below priority {one.level}"
        for one in part.levels
        if one.n_shedding
    ]
    budget = part.budget
    lines.append(f"  retries: {budget.n_spent} made, {budget.n_denied} denied")
    rows = [
        (
            str(rollout.key),
            str(rollout.version),
            f"{rollout.n_in_force}/{part.n_nodes}",
            _remark(rollout),
        )
        for rollout in part.declarations
    ]
    header = ("DECLARATION", "VERSION", "IN FORCE", "")
    lines += [f"  {line}" for line in format_table(header, rows).splitlines()]
    return lines


def _remark(rollout: DeclarationRollout) -> str:
    if rollout.invalid_path:
        return (
            f"invalid at {rollout.invalid_path}: {rollout.advice}; "
            f"version {rollout.lowest_in_force} stays in force"
        )
    if rollout.lagging:
        return f"lagging: {', '.join(rollout.lagging)}"
    return "deleted" if rollout.deleted else ""


def _describe_node(page: StatusPage) -> str:
    roles = [
        name
        for name, has_role in (("watcher", page.watching), ("reporter", page.reporting))
        if has_role
    ]
    lines = [
        f"node {page.node_id} of {page.data_centre}, incarnation {page.incarnation}"
        + (f" ({', '.join(roles)})" if roles else "")
    ]
    if page.draining:
        lines.append(f"draining, {page.n_unfinished} unfinished")
    for gate in page.gates:
        lines.append(
            f"{gate.service} at {gate.address}: {gate.state}, "
            f"{gate.n_in_flight} running of {gate.limit} (slots {gate.slots}), "
            f"{gate.n_waiting} waiting"
        )
    rows = [
        (
            f"{one.kind}/{one.name}",
            str(one.version),
            str(one.in_force_version),
            f"invalid at {one.invalid_path}: {one.advice}" if one.invalid_path else "",
        )
        for one in page.declarations
    ]
    header = ("DECLARATION", "VERSION", "IN FORCE", "")
    lines += format_table(header, rows).splitlines()
    return "\n".join(lines)

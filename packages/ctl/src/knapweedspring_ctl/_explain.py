"""``explain``: merges the events of one request from all nodes."""

from result import Err, Ok, Result

from knapweedspring_core import Explanation
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._nodes import (
    NodeClient,
    find_node_clients,
    read_all_explanations,
)
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._platform_access import open_platform
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_ctl._timeline import Timeline, format_event, merge_events

__all__ = ["explain_request"]


def explain_request(
    settings: CtlSettings, request_id: str, output: Output
) -> Result[ExitCode, CtlError]:
    """Show the events of a request on all nodes, in the order of their stamps."""
    opened = open_platform(settings)
    platform = opened.ok_value if isinstance(opened, Ok) else None
    found = find_node_clients(settings, platform)
    if isinstance(found, Err):
        return found
    explanations = _read_explanations(found.ok_value, request_id, output)
    # Events of gates carry the ticket of the call, not the request id.
    tickets = {
        event.fields.get("ticket", "") for one in explanations for event in one.events
    }
    for ticket in sorted(tickets - {"", request_id}):
        explanations += _read_explanations(found.ok_value, ticket, output)
    if not explanations:
        message = (
            f"no node has events of request {request_id}; nodes keep a bounded number "
            "of events, and none from before their start"
        )
        return Err(CtlError(ExitCode.NOT_FOUND, message))
    events = merge_events(tuple(one.events) for one in explanations)
    text = "\n".join(format_event(event) for event in events)
    output.write_data(Timeline(events), text)
    return Ok(ExitCode.OK)


def _read_explanations(
    nodes: tuple[NodeClient, ...], request_id: str, output: Output
) -> list[Explanation]:
    explanations: list[Explanation] = []
    for answer in read_all_explanations(nodes, request_id):
        if isinstance(answer, Err):
            output.write_message(
                f"events of one node are missing: {answer.err_value.message}"
            )
        elif answer.ok_value.events:
            explanations.append(answer.ok_value)
    return explanations

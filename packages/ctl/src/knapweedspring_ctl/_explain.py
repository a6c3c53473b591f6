"""``explain``: brings together what the nodes know of one request."""

from result import Err, Ok, Result

from knapweedspring_core import Explanation
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._nodes import NodePages, find_nodes, read_all_explanations
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._platform_access import open_platform
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_ctl._timeline import Timeline, format_event, merge_events

__all__ = ["explain_request"]


def explain_request(
    settings: CtlSettings, request_id: str, output: Output
) -> Result[ExitCode, CtlError]:
    """Show the events of a request on all nodes, in their order."""
    opened = open_platform(settings)
    platform = opened.ok_value if isinstance(opened, Ok) else None
    found = find_nodes(settings, platform)
    if isinstance(found, Err):
        return found
    known = _ask(found.ok_value, request_id, output)
    # Gates name the ticket that they run, not the request.
    tickets = {event.fields.get("ticket", "") for one in known for event in one.events}
    for ticket in sorted(tickets - {"", request_id}):
        known += _ask(found.ok_value, ticket, output)
    if not known:
        message = (
            f"no node knows request {request_id}; nodes remember a bounded number "
            "of events, and nothing from before their start"
        )
        return Err(CtlError(ExitCode.NOT_FOUND, message))
    events = merge_events(tuple(one.events) for one in known)
    text = "\n".join(format_event(event) for event in events)
    output.data(Timeline(events), text)
    return Ok(ExitCode.OK)


def _ask(
    nodes: tuple[NodePages, ...], request_id: str, output: Output
) -> list[Explanation]:
    known: list[Explanation] = []
    for answer in read_all_explanations(nodes, request_id):
        if isinstance(answer, Err):
            output.message(f"left out: {answer.err_value.message}")
        elif answer.ok_value.events:
            known.append(answer.ok_value)
    return known

"""Client of the nodes' read-only pages."""

from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Ok, Result

from knapweedspring_core import (
    CONTACTS_KIND,
    EventsPage,
    Explanation,
    MembersPage,
    MemberState,
    Platform,
    StatusPage,
    parse_contacts,
)
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._settings import CtlSettings

__all__ = [
    "NodeClient",
    "find_node_clients",
    "read_all_events",
    "read_all_explanations",
]

PAGE_TIMEOUT_S = 3.0
MAX_PARALLEL_READS = 16

T = TypeVar("T")


class NodeClient:
    """Reads the read-only pages of one node.

    :param address: ``ip:port`` of the node's pages.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def address(self) -> str:
        """``ip:port`` of the node's pages."""
        return self._address

    def read_status(self) -> Result[StatusPage, CtlError]:
        """Read the node's state."""
        return self._read("/status", StatusPage)

    def read_members(self) -> Result[MembersPage, CtlError]:
        """Read the node's membership view."""
        return self._read("/members", MembersPage)

    def read_events(self) -> Result[EventsPage, CtlError]:
        """Read the node's event ring."""
        return self._read("/events", EventsPage)

    def read_explanation(self, request_id: str) -> Result[Explanation, CtlError]:
        """Read the events of a request that the node recorded.

        :param request_id: a request id, or a ticket.
        """
        return self._read(f"/explain/{quote(request_id, safe='')}", Explanation)

    def _read(self, path: str, page_type: type[T]) -> Result[T, CtlError]:
        url = f"http://{self._address}{path}"
        try:
            answer = self._pool.request("GET", url, timeout=PAGE_TIMEOUT_S)
            if answer.status != 200:
                message = f"{url} returned status {answer.status}"
                return Err(CtlError(ExitCode.UNAVAILABLE, message))
            return Ok(msgspec.json.decode(answer.data, type=page_type))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            message = f"the node at {self._address} cannot be reached: {error}"
        except msgspec.DecodeError as error:
            message = f"{url} returned a page that this release cannot decode: {error}"
        return Err(CtlError(ExitCode.UNAVAILABLE, message))


def find_node_clients(
    settings: CtlSettings, platform: Platform | None
) -> Result[tuple[NodeClient, ...], CtlError]:
    """Return clients of every node that is alive or suspect.

    The membership view is requested from the nodes in the settings, then from the
    contacts on the platform; the first view received is used. The node that answered is
    always included.

    :param platform: platform with the contacts; None to ask only the nodes in the
        settings.
    :return: the clients, or the error of the last node asked when no node answers, or
        a usage error when there is no node to ask.
    """
    addresses = (*settings.nodes, *_contact_addresses(platform))
    last_error = CtlError(
        ExitCode.USAGE,
        "name a node: --node IP:PORT of its pages, or a platform with contacts",
    )
    for address in addresses:
        page = NodeClient(address).read_members()
        if isinstance(page, Err):
            last_error = page.err_value
            continue
        return Ok(_clients_of(page.ok_value, address))
    return Err(last_error)


def read_all_events(
    nodes: tuple[NodeClient, ...],
) -> list[Result[EventsPage, CtlError]]:
    """Read the event rings of several nodes in parallel."""
    with ThreadPoolExecutor(MAX_PARALLEL_READS) as executor:
        return list(executor.map(lambda node: node.read_events(), nodes))


def read_all_explanations(
    nodes: tuple[NodeClient, ...], request_id: str
) -> list[Result[Explanation, CtlError]]:
    """Read the events of a request from several nodes in parallel."""
    with ThreadPoolExecutor(MAX_PARALLEL_READS) as executor:
        return list(executor.map(lambda node: node.read_explanation(request_id), nodes))


def _clients_of(view: MembersPage, answering_address: str) -> tuple[NodeClient, ...]:
    present_states = (MemberState.ALIVE, MemberState.SUSPECT)
    addresses = {
        member.admin_address
        for member in view.members
        if member.state in present_states and member.admin_address
    }
    return tuple(
        NodeClient(address) for address in sorted(addresses | {answering_address})
    )


def _contact_addresses(platform: Platform | None) -> tuple[str, ...]:
    if platform is None:
        return ()
    listed = platform.list_all((CONTACTS_KIND,))
    if isinstance(listed, Err):
        return ()
    return tuple(
        contact.admin_address
        for record in listed.ok_value.records
        for contact in parse_contacts(record).contacts
        if contact.admin_address
    )

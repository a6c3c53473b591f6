"""Access of the commands to the nodes' read-only pages."""

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
from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._settings import CtlSettings

__all__ = ["NodePages", "find_nodes", "read_all_events", "read_all_explanations"]

TIMEOUT_S = 3.0
N_PARALLEL = 16

T = TypeVar("T")


class NodePages:
    """The pages of one node.

    :param address: ``ip:port`` of the pages.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def address(self) -> str:
        """``ip:port`` of the pages."""
        return self._address

    def status(self) -> Result[StatusPage, CtlError]:
        """Read the node's state."""
        return self._read("/status", StatusPage)

    def members(self) -> Result[MembersPage, CtlError]:
        """Read the node's membership view."""
        return self._read("/members", MembersPage)

    def events(self) -> Result[EventsPage, CtlError]:
        """Read the node's event ring."""
        return self._read("/events", EventsPage)

    def explain(self, request_id: str) -> Result[Explanation, CtlError]:
        """Read what the node knows of a request."""
        return self._read(f"/explain/{quote(request_id, safe='')}", Explanation)

    def _read(self, path: str, page_type: type[T]) -> Result[T, CtlError]:
        url = f"http://{self._address}{path}"
        try:
            answer = self._pool.request("GET", url, timeout=TIMEOUT_S)
            if answer.status != 200:
                message = f"{url} answered {answer.status}"
                return Err(CtlError(ExitCode.UNAVAILABLE, message))
            return Ok(msgspec.json.decode(answer.data, type=page_type))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            message = f"the node at {self._address} cannot be reached: {error}"
        except msgspec.DecodeError as error:
            message = f"{url} is not a page of this release: {error}"
        return Err(CtlError(ExitCode.UNAVAILABLE, message))


def find_nodes(
    settings: CtlSettings, platform: Platform | None
) -> Result[tuple[NodePages, ...], CtlError]:
    """Find the pages of every node that is not known to be gone.

    The nodes of the settings are asked for their view first, then the contacts
    on the platform.
    """
    addresses = (*settings.nodes, *_contact_addresses(platform))
    last = CtlError(
        ExitCode.USAGE,
        "name a node: --node IP:PORT of its pages, or a platform with contacts",
    )
    for address in addresses:
        page = NodePages(address).members()
        if isinstance(page, Err):
            last = page.err_value
            continue
        return Ok(_pages_of(page.ok_value, address))
    return Err(last)


def read_all_events(nodes: tuple[NodePages, ...]) -> list[Result[EventsPage, CtlError]]:
    """Read the event rings of several nodes at once."""
    with ThreadPoolExecutor(N_PARALLEL) as executor:
        return list(executor.map(lambda node: node.events(), nodes))


def read_all_explanations(
    nodes: tuple[NodePages, ...], request_id: str
) -> list[Result[Explanation, CtlError]]:
    """Ask several nodes at once about a request."""
    with ThreadPoolExecutor(N_PARALLEL) as executor:
        return list(executor.map(lambda node: node.explain(request_id), nodes))


def _pages_of(view: MembersPage, asked: str) -> tuple[NodePages, ...]:
    present = (MemberState.ALIVE, MemberState.SUSPECT)
    addresses = {
        member.admin_address
        for member in view.members
        if member.state in present and member.admin_address
    }
    return tuple(NodePages(address) for address in sorted(addresses | {asked}))


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

"""Makes the state of a request when it arrives at an entry."""

from knapweedspring_relay._configuration import Route
from knapweedspring_relay._destination_splitter import DestinationSplitter
from knapweedspring_relay._gate import Gate
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._hop import ChainOrigin
from knapweedspring_relay._request_fingerprint import RequestFingerprinter
from knapweedspring_relay._request_state import RequestState, stated_deadline_s
from knapweedspring_relay._requests import Request
from knapweedspring_relay._workspace_keys import Caller

__all__ = ["RequestIntake"]


class RequestIntake:
    """Makes the states of requests: deadline, chain, destination and fingerprint.

    :param headers: names of the callers' headers.
    :param gate: the gate of this node, which knows the chains of running requests.
    :param splitter: distributes requests among a route's destinations.
    :param fingerprinter: makes the fingerprints of requests.
    """

    def __init__(
        self,
        headers: CallHeaders,
        gate: Gate,
        splitter: DestinationSplitter,
        fingerprinter: RequestFingerprinter,
    ) -> None:
        self._headers = headers
        self._gate = gate
        self._splitter = splitter
        self._fingerprinter = fingerprinter

    def make_state(
        self, request: Request, route: Route, version: int, caller: Caller
    ) -> RequestState:
        """Return the state of a request that has arrived.

        :param request: the request.
        :param route: its route.
        :param version: version of the configuration in force.
        :param caller: who sent the request.
        """
        stated_s = stated_deadline_s(request.header(self._headers.deadline_ms))
        left_s = min(stated_s, route.timeout_s)
        header = request.header(self._headers.request_id) or b""
        request_id = header.decode("latin-1")
        workspace = caller.workspace
        chain_origin = None if workspace else self._chain_origin(request_id)
        if chain_origin is not None:
            origin = chain_origin
        elif workspace is not None:
            origin = ChainOrigin(route.priority, workspace.name, workspace.priority)
        else:
            origin = ChainOrigin(route.priority)
        return RequestState(
            route=route,
            service=self._splitter.choose_service(route),
            request_id=request_id,
            fingerprint=self._fingerprinter.fingerprint(request),
            origin=origin,
            is_chain_call=chain_origin is not None,
            workspace=workspace,
            key_digest=caller.digest if workspace is not None else b"",
            deadline_at=request.arrived_at + left_s,
            version=version,
        )

    def _chain_origin(self, request_id: str) -> ChainOrigin | None:
        """Return the root of the chain that a request belongs to, if known.

        A call made by the upstream beside this node belongs to the chain of the request
        that the upstream is running. Such calls carry no key.
        """
        parent_id = self._headers.parent_of(request_id)
        return None if parent_id is None else self._gate.chain_origin(parent_id)

"""Identifies the workspace of a request by the key that the request carries."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from knapweedspring_relay._configuration import Route, RouteTable, Workspace
from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._requests import Header

__all__ = ["Caller", "KeyVerdict", "digest_key", "identify_caller"]

#: Bytes of a key's digest: enough that no two of many thousand keys collide.
DIGEST_BYTES = 16
#: Bytes of a digest that identify a key in logs.
LOGGED_DIGEST_BYTES = 4
#: Longest key that is looked up, in bytes; a longer one is held by no workspace.
MAX_KEY_BYTES = 1_024


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept and looked up.

    Looking up digests instead of keys makes the time of a lookup independent of how
    much of a guessed key is right.

    :param key: the key.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class KeyVerdict(Enum):
    """Whether a request may use its route."""

    #: The route is anonymous, or a workspace holds the key.
    ALLOWED = "allowed"
    #: The key is missing, repeated, malformed or too long.
    UNREADABLE = "the key is missing or malformed"
    #: No workspace of the configuration in force holds the key.
    UNKNOWN = "no workspace holds the key"


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request, as far as its key shows."""

    #: Whether the request may use its route.
    verdict: KeyVerdict
    #: Workspace that holds the key; None when there is none.
    workspace: Workspace | None = None
    #: Digest of the key; empty when the request carries no readable key.
    digest: bytes = b""

    @property
    def logged_key(self) -> str:
        """Part of the key's digest that identifies the key in logs."""
        return self.digest[:LOGGED_DIGEST_BYTES].hex()


_ANONYMOUS = Caller(KeyVerdict.ALLOWED)
_UNREADABLE = Caller(KeyVerdict.UNREADABLE)


def identify_caller(
    fields: Sequence[Header], names: CallHeaders, table: RouteTable, route: Route
) -> Caller:
    """Identify the workspace of a request.

    :param fields: headers of the request.
    :param names: names of the callers' headers.
    :param table: the configuration in force.
    :param route: route of the request.
    """
    if not table.has_workspaces:
        return _ANONYMOUS
    values = [value for name, value in fields if name == names.credentials]
    key = names.read_key(values[0]) if len(values) == 1 else None
    if key is None or len(key) > MAX_KEY_BYTES:
        return _ANONYMOUS if route.is_anonymous else _UNREADABLE
    digest = digest_key(key)
    workspace = table.workspace_of_key(digest)
    is_allowed = workspace is not None or route.is_anonymous
    verdict = KeyVerdict.ALLOWED if is_allowed else KeyVerdict.UNKNOWN
    return Caller(verdict, workspace, digest)

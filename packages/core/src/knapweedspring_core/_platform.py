"""Client of the platform's object API; the protocol is in docs/PLATFORM.md."""

import json
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

from knapweedspring_core._declarations import ObjectKey, ObjectRecord
from knapweedspring_core._errors import (
    PlatformConflict,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
    PlatformVersionTooOld,
)
from knapweedspring_core._rate import TokenBucket

__all__ = ["ObjectChanges", "HttpPlatform", "Platform"]

REQUEST_TIMEOUT_S = 3.0
MAX_CALLS_PER_S = 20.0
CALL_BURST = 20


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Objects from a list or a watch, and the version from which to watch next."""

    #: Changed objects, oldest first; deletions are tombstones.
    records: tuple[ObjectRecord, ...]
    #: Platform version to pass to the next watch.
    version: int


class _WireRecord(msgspec.Struct, frozen=True):
    """An object, as the API sends it."""

    kind: str
    name: str
    version: int
    deleted: bool
    writer: str
    content: str


class _WireConflict(msgspec.Struct, frozen=True):
    """The part that is read of the answer to a write that named an outdated version."""

    #: Version that the object has.
    version: int


class _WireChanges(msgspec.Struct, frozen=True):
    """Answer to a list or a watch."""

    items: tuple[_WireRecord, ...]
    #: Platform version from which the next watch continues.
    version: int


class Platform(ABC):
    """Interface of the platform's object API."""

    @abstractmethod
    def get(self, key: ObjectKey) -> Result[ObjectRecord | None, PlatformError]:
        """Read one object; None when it does not exist."""

    @abstractmethod
    def list_all(
        self, kinds: tuple[str, ...] = ()
    ) -> Result[ObjectChanges, PlatformError]:
        """Read all objects and the platform version at which they were read.

        :param kinds: kinds of the objects to read; every kind when empty.
        """

    @abstractmethod
    def watch(
        self, version: int, wait_s: float, kinds: tuple[str, ...] = ()
    ) -> Result[ObjectChanges, PlatformError]:
        """Wait until objects have changed after ``version``, and read them.

        :param version: the version that :meth:`list_all` or the last watch returned.
        :param wait_s: longest wait in seconds; without a change in this time, the
            result has no records.
        :param kinds: kinds of the objects to watch; every kind when empty.
        """

    @abstractmethod
    def put(
        self, key: ObjectKey, content: str, writer: str, expected_version: int
    ) -> Result[ObjectRecord, PlatformError]:
        """Write an object if its version is still ``expected_version``.

        :param expected_version: version to replace; 0 to create the object.
        :return: the stored record; :class:`PlatformConflict` when another
            write came first; :class:`PlatformUnavailable` when no answer
            arrived and the write may have taken effect.
        """

    @abstractmethod
    def delete(
        self, key: ObjectKey, writer: str, expected_version: int
    ) -> Result[ObjectRecord, PlatformError]:
        """Delete an object if its version is still ``expected_version``."""


class HttpPlatform(Platform):
    """The object API over HTTP.

    Requests that would exceed the rate limit wait, so that a faulty program cannot
    use up the platform's capacity, which all programs share.

    :param address: ``ip:port`` of the platform.
    :param data_centre: data centre of this program, sent to the platform in a header;
        no header is sent when empty.
    :param max_calls_per_s: long-term limit of requests per second.
    """

    def __init__(
        self,
        address: str,
        data_centre: str = "",
        max_calls_per_s: float = MAX_CALLS_PER_S,
    ) -> None:
        self._base_url = f"http://{address}/objects"
        self._headers = {"X-Data-Centre": data_centre} if data_centre else {}
        self._bucket = TokenBucket(max_calls_per_s, CALL_BURST)
        self._pool = urllib3.PoolManager(maxsize=2, retries=False)
        self._n_calls = 0

    @property
    def n_calls(self) -> int:
        """Number of requests sent so far; a waiting watch counts as one."""
        return self._n_calls

    def get(self, key: ObjectKey) -> Result[ObjectRecord | None, PlatformError]:
        """Read one object; None when it does not exist."""
        answer = self._request("GET", f"{self._base_url}/{key.kind}/{key.name}")
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 404:
            return Ok(None)
        return _as_record(status, body)

    def list_all(
        self, kinds: tuple[str, ...] = ()
    ) -> Result[ObjectChanges, PlatformError]:
        """Read all objects and the platform version at which they were read."""
        query = f"?kinds={','.join(kinds)}" if kinds else ""
        answer = self._request("GET", self._base_url + query)
        return answer.and_then(lambda pair: _as_changes(*pair))

    def watch(
        self, version: int, wait_s: float, kinds: tuple[str, ...] = ()
    ) -> Result[ObjectChanges, PlatformError]:
        """Wait until objects have changed after ``version``, and read them."""
        url = f"{self._base_url}?watch={version}&wait_ms={int(wait_s * 1000)}"
        if kinds:
            url += f"&kinds={','.join(kinds)}"
        answer = self._request("GET", url, timeout_s=wait_s + REQUEST_TIMEOUT_S)
        return answer.and_then(lambda pair: _as_changes(*pair))

    def put(
        self, key: ObjectKey, content: str, writer: str, expected_version: int
    ) -> Result[ObjectRecord, PlatformError]:
        """Write an object if its version is still ``expected_version``."""
        body = json.dumps({"content": content, "writer": writer})
        answer = self._write("PUT", key, expected_version, body)
        return answer.and_then(lambda pair: _as_record(*pair))

    def delete(
        self, key: ObjectKey, writer: str, expected_version: int
    ) -> Result[ObjectRecord, PlatformError]:
        """Delete an object if its version is still ``expected_version``."""
        body = json.dumps({"writer": writer})
        answer = self._write("DELETE", key, expected_version, body)
        return answer.and_then(lambda pair: _as_record(*pair))

    def _write(
        self, method: str, key: ObjectKey, expected_version: int, body: str
    ) -> Result[tuple[int, Any], PlatformError]:
        url = f"{self._base_url}/{key.kind}/{key.name}"
        return self._request(method, url, body, {"If-Match": str(expected_version)})

    def _request(
        self,
        method: str,
        url: str,
        body: str | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Result[tuple[int, Any], PlatformError]:
        time.sleep(self._bucket.reserve())
        self._n_calls += 1
        headers = {**self._headers, **(headers or {})}
        try:
            answer = self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout_s
            )
            return Ok((answer.status, answer.json()))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Err(PlatformUnavailable(f"{method} {url}: {error}"))


def _as_record(status: int, body: Any) -> Result[ObjectRecord, PlatformError]:
    if status not in (200, 409):
        return Err(_as_error(status, body))
    try:
        if status == 409:
            version = msgspec.convert(body, _WireConflict).version
            return Err(PlatformConflict(f"the object has version {version}", version))
        return Ok(_parse_record(msgspec.convert(body, _WireRecord)))
    except msgspec.ValidationError as error:
        return Err(PlatformUnavailable(f"unreadable answer: {error}"))


def _as_changes(status: int, body: Any) -> Result[ObjectChanges, PlatformError]:
    if status == 410:
        return Err(PlatformVersionTooOld("list the objects again"))
    if status != 200:
        return Err(_as_error(status, body))
    try:
        changes = msgspec.convert(body, _WireChanges)
    except msgspec.ValidationError as error:
        return Err(PlatformUnavailable(f"unreadable answer: {error}"))
    return Ok(ObjectChanges(tuple(map(_parse_record, changes.items)), changes.version))


def _as_error(status: int, body: Any) -> PlatformError:
    if 400 <= status < 500:
        problem = body.get("problem", "") if isinstance(body, dict) else ""
        return PlatformRefused(f"status {status}: {problem}")
    return PlatformUnavailable(f"status {status}")


def _parse_record(found: _WireRecord) -> ObjectRecord:
    return ObjectRecord(
        key=ObjectKey(found.kind, found.name),
        version=found.version,
        deleted=found.deleted,
        writer=found.writer,
        content=found.content,
    )

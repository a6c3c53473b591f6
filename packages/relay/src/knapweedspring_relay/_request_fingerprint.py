"""Fingerprint that identifies the same request over attempts with different ids."""

import hashlib

from knapweedspring_relay._headers import CallHeaders
from knapweedspring_relay._messages import end_to_end_headers
from knapweedspring_relay._requests import Request

__all__ = ["RequestFingerprinter"]

#: Length of a fingerprint, in bytes. An unrelated request has the fingerprint of one of
#: a thousand remembered requests with a probability below 1e-16.
FINGERPRINT_BYTES = 8
#: Headers that change between attempts of the same request: they identify the attempt
#: or its trace.
ATTEMPT_HEADERS = frozenset(
    {b"traceparent", b"tracestate", b"x-request-id", b"x-correlation-id", b"date"}
)


class RequestFingerprinter:
    """Makes fingerprints from the method, target, caller and body of requests.

    The caller is identified by all end-to-end headers that do not change between the
    attempts of a request, since a deployment may identify callers by any of them.

    :param headers: names of the headers that callers write.
    """

    def __init__(self, headers: CallHeaders) -> None:
        self._dropped = headers.set_by_system | ATTEMPT_HEADERS | {headers.request_id}

    def fingerprint(self, request: Request) -> bytes:
        """Return the fingerprint of a request.

        :param request: the request.
        """
        kept = end_to_end_headers(request.headers, self._dropped)
        parts = [request.method, request.target]
        for header in sorted(kept):
            parts += header
        # The lengths separate the parts, so that different requests differ in bytes.
        lengths = b",".join([b"%d" % len(part) for part in parts])
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update(b"\n".join([lengths, *parts, b""]))
        # By itself, since a copy of a long body would take its memory once more.
        digest.update(request.body)
        return digest.digest()

"""Message authentication for texts that pass through callers and upstreams."""

import base64
import binascii
import hashlib
import hmac
from typing import TypeVar

from result import Err, Ok, Result

from knapweedspring_core import decode, encode
from knapweedspring_node._calls._errors import SealError

__all__ = ["Seal"]

T = TypeVar("T")

MAC_BYTES = 16


class Seal:
    """Encodes typed messages as header text with a keyed digest.

    Each purpose has a key of its own, so that a text made for one purpose is
    refused for another.

    :param mesh_key: secret of the firm's mesh.
    :param purpose: such as ``ticket``.
    """

    def __init__(self, mesh_key: bytes, purpose: str) -> None:
        self._key = hashlib.blake2b(
            purpose.encode(), key=mesh_key[:64], digest_size=32
        ).digest()

    def close(self, message: object) -> str:
        """Encode and authenticate a message.

        :return: text that is safe in a header.
        """
        payload = encode(message)
        return base64.urlsafe_b64encode(self._mac(payload) + payload).decode()

    def open(self, text: str, message_type: type[T]) -> Result[T, SealError]:
        """Check and decode a text from :meth:`close`.

        :return: the message, or :class:`SealError` for a forged or foreign text.
        """
        try:
            # Strictly: one message has one text, with nothing after its end.
            data = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return Err(SealError("not base64"))
        mac = data[:MAC_BYTES]
        payload = data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            return Err(SealError("digest does not match"))
        decoded = decode(payload, message_type)
        if isinstance(decoded, Err):
            return Err(SealError(decoded.err_value.detail))
        return Ok(decoded.ok_value)

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=MAC_BYTES).digest()

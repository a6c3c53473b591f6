"""Authenticated encoding of texts that pass through callers and upstreams."""

import base64
import binascii
import hashlib
import hmac
from typing import TypeVar

from result import Err, Ok, Result

from knapweedspring_core import decode, encode
from knapweedspring_node._calls._errors import MacError

__all__ = ["MacCodec"]

T = TypeVar("T")

MAC_BYTES = 16


class MacCodec:
    """Encodes typed messages as header text with a message authentication code.

    Each purpose has its own key, so that a text made for one purpose is rejected for
    another.

    :param mesh_key: secret shared by the firm's nodes.
    :param purpose: purpose of the texts, such as ``ticket``.
    """

    def __init__(self, mesh_key: bytes, purpose: str) -> None:
        self._key = hashlib.blake2b(
            purpose.encode(), key=mesh_key[:64], digest_size=32
        ).digest()

    def encode_text(self, message: object) -> str:
        """Encode and authenticate a message.

        :return: URL-safe base64 text.
        """
        payload = encode(message)
        return base64.urlsafe_b64encode(self._mac(payload) + payload).decode()

    def decode_text(self, text: str, message_type: type[T]) -> Result[T, MacError]:
        """Verify and decode a text from :meth:`encode_text`.

        :return: the message, or :class:`MacError` for a text that is malformed or was
            made with another key.
        """
        try:
            # Strict decoding rejects characters outside the alphabet and text after the
            # end of the message.
            data = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return Err(MacError("not base64"))
        mac = data[:MAC_BYTES]
        payload = data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            return Err(MacError("digest does not match"))
        decoded = decode(payload, message_type)
        if isinstance(decoded, Err):
            return Err(MacError(decoded.err_value.detail))
        return Ok(decoded.ok_value)

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=MAC_BYTES).digest()

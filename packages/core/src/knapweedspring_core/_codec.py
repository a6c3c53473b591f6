"""MessagePack codec for the typed messages between nodes."""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from knapweedspring_core._errors import CodecError

__all__ = ["decode", "encode"]

T = TypeVar("T")

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[Any, msgspec.msgpack.Decoder] = {}


def encode(message: object) -> bytes:
    """Encode a frozen data class as MessagePack.

    :param message: an instance of one of the message data classes.
    :return: the bytes that :func:`decode` turns back into an equal instance.
    """
    return _ENCODER.encode(message)


def decode(data: bytes, message_type: type[T]) -> Result[T, CodecError]:
    """Decode and validate MessagePack bytes.

    :param data: bytes from :func:`encode`, or from an untrusted peer.
    :param message_type: the data class that the bytes must hold.
    :return: the message, or a :class:`CodecError` naming the offending field.
    """
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(message_type)
        _DECODERS[message_type] = decoder
    try:
        return Ok(decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(CodecError(str(error)))

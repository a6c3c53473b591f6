"""Bundles: large deterministic bodies that a receiver can verify byte by byte."""

import hashlib
from collections.abc import Iterator

__all__ = ["bundle_chunks", "bundle_digest"]

CHUNK_BYTES = 65_536


def bundle_chunks(nonce: str, n_bytes: int) -> Iterator[bytes]:
    """Yield the chunks of the bundle for ``nonce``.

    Each chunk depends on its index, so that the digest detects a swapped,
    repeated or missing chunk.

    :param nonce: identifies the logical request and determines the bytes.
    :param n_bytes: length of the bundle.
    """
    index = 0
    while n_bytes > 0:
        seed = hashlib.sha256(f"{nonce}:{index}".encode()).digest()
        chunk = seed * (CHUNK_BYTES // len(seed))
        yield chunk[:n_bytes]
        n_bytes -= CHUNK_BYTES
        index += 1


def bundle_digest(nonce: str, n_bytes: int) -> str:
    """Return the SHA-256 of the bundle of :func:`bundle_chunks`, in hexadecimal."""
    digest = hashlib.sha256()
    for chunk in bundle_chunks(nonce, n_bytes):
        digest.update(chunk)
    return digest.hexdigest()

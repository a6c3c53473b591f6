"""Fixed-size digests with which two nodes find the entries that differ."""

import functools
import hashlib
import struct

__all__ = ["N_BUCKETS", "BucketDigest", "bucket_of", "differing_buckets", "hash_64"]

#: Number of buckets of one digest; each adds eight bytes to a message.
N_BUCKETS = 256

#: Number of keys whose bucket is cached, since hashing costs more than a lookup.
BUCKET_CACHE_SIZE = 16_384

_BUCKETS_FORMAT = struct.Struct(f"<{N_BUCKETS}Q")


def hash_64(text: str) -> int:
    """Hash text to 64 bits; the result is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


class BucketDigest:
    """Digest of a set of entries, kept up to date entry by entry.

    Each entry belongs to the bucket of its key. A bucket's digest is the exclusive
    or of its entries' hashes, so adding and removing an entry are the same step and
    the order of the changes does not matter.
    """

    def __init__(self) -> None:
        self._buckets = [0] * N_BUCKETS
        self._root = 0
        self._hash_by_key: dict[str, int] = {}

    @property
    def root(self) -> int:
        """Digest of the whole set, 0 when it is empty."""
        return self._root

    @property
    def buckets(self) -> bytes:
        """Digests of all buckets, concatenated."""
        return _BUCKETS_FORMAT.pack(*self._buckets)

    def put(self, key: str, version: str) -> None:
        """Add an entry or replace its version."""
        self._xor_into_bucket(key, self._hash_by_key.get(key, 0))
        value = hash_64(f"{key}\n{version}")
        self._hash_by_key[key] = value
        self._xor_into_bucket(key, value)

    def remove(self, key: str) -> None:
        """Remove an entry, if present."""
        self._xor_into_bucket(key, self._hash_by_key.pop(key, 0))

    def _xor_into_bucket(self, key: str, value: int) -> None:
        self._buckets[bucket_of(key)] ^= value
        self._root ^= value


@functools.lru_cache(maxsize=BUCKET_CACHE_SIZE)
def bucket_of(key: str) -> int:
    """Return the number of the bucket that a key belongs to."""
    return hash_64(key) % N_BUCKETS


def differing_buckets(own_buckets: bytes, peer_buckets: bytes) -> tuple[int, ...]:
    """Return the numbers of the buckets that differ.

    :param own_buckets: :attr:`BucketDigest.buckets` of this node.
    :param peer_buckets: :attr:`BucketDigest.buckets` of the peer.
    :return: bucket numbers; empty when ``peer_buckets`` is empty or of a wrong size.
    """
    if len(peer_buckets) != _BUCKETS_FORMAT.size:
        return ()
    pairs = zip(
        _BUCKETS_FORMAT.unpack(own_buckets),
        _BUCKETS_FORMAT.unpack(peer_buckets),
        strict=True,
    )
    return tuple(index for index, (own, other) in enumerate(pairs) if own != other)

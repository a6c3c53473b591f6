"""How the process's allocator returns the memory of long buffers."""

import ctypes

__all__ = ["map_long_buffers"]

#: Option of glibc's ``mallopt`` for the size from which an allocation is mapped by
#: itself, and that size, in bytes: a read of a socket and a part of a body.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 65_536


def map_long_buffers() -> bool:
    """Map each long buffer by itself, so that its memory is returned when it is freed.

    Otherwise the allocator raises the size as long buffers are freed. Bodies that grow
    side by side then fragment its heap, which takes a multiple of their bytes.

    :return: whether the allocator has the option; other C libraries lack it.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES) == 1

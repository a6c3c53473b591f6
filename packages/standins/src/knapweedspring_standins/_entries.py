"""The list of entry nodes that callers choose from."""

import random
import threading
import time
from pathlib import Path

import msgspec

__all__ = ["EntryList"]

REFRESH_S = 0.2


class EntryList:
    """Entry nodes by data centre, re-read from the file every ``REFRESH_S``.

    :param file: JSON file with one list of ``ip:port`` for each data centre.
    """

    def __init__(self, file: str) -> None:
        self._file = Path(file)
        self._lock = threading.Lock()
        self._read_at = 0.0
        self._entries: list[list[str]] = []

    def pick_data_centre(self, rng: random.Random) -> int:
        """Choose a data centre for a caller at random; return its index in the file."""
        return rng.randrange(len(self._current()))

    def pick(self, data_centre: int, rng: random.Random, avoided: str = "") -> str:
        """Choose an entry node of a data centre at random.

        :param data_centre: index of the data centre in the file.
        :param rng: random source of the choice.
        :param avoided: ``ip:port`` of a node that is chosen only when the data centre
            has no other; empty to avoid none.
        :return: ``ip:port`` of the node.
        """
        entries = self._current()[data_centre]
        others = [entry for entry in entries if entry != avoided]
        return rng.choice(others or entries)

    def _current(self) -> list[list[str]]:
        with self._lock:
            if time.monotonic() - self._read_at > REFRESH_S:
                data = self._file.read_bytes()
                self._entries = msgspec.json.decode(data, type=list[list[str]])
                self._read_at = time.monotonic()
            return self._entries

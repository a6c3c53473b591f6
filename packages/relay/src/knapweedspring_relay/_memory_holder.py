"""Interface of what a peer keeps open in the process."""

from abc import ABC, abstractmethod

__all__ = ["MemoryHolder"]


class MemoryHolder(ABC):
    """What a peer keeps open and makes the process hold memory for."""

    @abstractmethod
    def end_for_memory(self) -> None:
        """End what holds the memory, and release it as soon as possible."""

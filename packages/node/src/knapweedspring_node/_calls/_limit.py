"""Limits on the calls that an upstream runs at the same time."""

from abc import ABC, abstractmethod

__all__ = ["ConcurrencyLimit", "FixedLimit"]


class ConcurrencyLimit(ABC):
    """Decides how many calls run at once; the gate's lock guards it."""

    @property
    @abstractmethod
    def value(self) -> int:
        """Calls that may run at the same time, at least 1."""

    @abstractmethod
    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""

    def record(  # noqa: B027 (a hook: fixed limits learn nothing)
        self, class_name: str, service_s: float, succeeded: bool, now: float
    ) -> None:
        """Take in a finished call."""

    def restart(self) -> None:  # noqa: B027 (a hook, as above)
        """Begin anew, for an upstream that starts cold."""


class FixedLimit(ConcurrencyLimit):
    """The declared slots and nothing else."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def value(self) -> int:
        """The declared slots."""
        return self._slots

    def resize(self, slots: int) -> None:
        """Take over a changed number of declared slots."""
        self._slots = slots

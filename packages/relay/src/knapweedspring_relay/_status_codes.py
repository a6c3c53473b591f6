"""Status codes of HTTP/1.1 answers."""

__all__ = ["is_final_status", "is_status"]

#: Smallest status, smallest one that is not interim, and largest one.
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599


def is_status(number: int) -> bool:
    """Return whether a number is the status of an answer, interim or final."""
    return MIN_STATUS <= number <= MAX_STATUS


def is_final_status(number: int) -> bool:
    """Return whether a number is the status of an answer that is not interim."""
    return MIN_FINAL_STATUS <= number <= MAX_STATUS

"""The header by which a server states for how long it keeps an idle connection."""

__all__ = ["idle_timeout_s"]


def idle_timeout_s(keep_alive: bytes | None) -> float | None:
    """Return the idle timeout that a server states.

    :param keep_alive: value of the header; None when it is absent.
    :return: the timeout in seconds; None when the server states none.
    """
    if keep_alive is None:
        return None
    for part in keep_alive.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None

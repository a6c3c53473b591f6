"""Numbers in messages of other processes."""

__all__ = ["parse_decimal"]

#: Longest number that is accepted, in digits: any 64-bit number has fewer. Python
#: refuses to convert numbers of some thousand digits.
MAX_DIGITS = 20


def parse_decimal(text: bytes | None) -> int | None:
    """Return a number of decimal digits; None for anything else.

    :param text: received text, without spaces around the number; None when it is
        missing.
    """
    if text is None or len(text) > MAX_DIGITS or not text.isdigit():
        return None
    return int(text)

"""Numbers in messages of other processes."""

import re

__all__ = ["parse_decimal", "parse_rate"]

#: Longest number that is accepted, in digits: any 64-bit number has fewer. Python
#: refuses to convert numbers of some thousand digits.
MAX_DIGITS = 20
_RATE = re.compile(rb"\d+(\.\d*)?|\.\d+", re.ASCII)


def parse_decimal(text: bytes | None) -> int | None:
    """Return a number of decimal digits; None for anything else.

    :param text: received text, without spaces around the number; None when it is
        missing.
    """
    if text is None or len(text) > MAX_DIGITS or not text.isdigit():
        return None
    return int(text)


def parse_rate(text: bytes) -> float | None:
    """Return a decimal number that is not negative; None for anything else.

    :param text: received text, with or without spaces around the number.
    """
    text = text.strip()
    if len(text) > MAX_DIGITS or not _RATE.fullmatch(text):
        return None
    return float(text)

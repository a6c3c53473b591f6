"""Addresses of processes, as ``ip:port``."""

import ipaddress

__all__ = ["is_ip_address", "split_address"]

#: Greatest port number.
MAX_PORT = 65_535
#: Digits of the greatest port number.
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its host and its port.

    :param address: the address; its host is not looked up.
    :raises ValueError: when the port is missing, no decimal number, or out of range.
        Event loops differ in what they do with such a port: asyncio raises
        ``OverflowError``, uvloop connects to the port modulo 65,536.
    """
    host, separator, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not separator or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port of {address[:80]!r} is not a number to {MAX_PORT}")
    return host, int(port)


def is_ip_address(address: str) -> bool:
    """Return whether an address is an IP address of one host with a port.

    A connection to such an address needs no name service, whose delays would affect
    the connections to other hosts.

    :param address: the address.
    """
    try:
        host, _ = split_address(address)
        ip = ipaddress.ip_address(host)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast)

"""Numeric ``ip:port`` addresses."""

import ipaddress

MAX_PORT = 65_535


def parse(address):
    """Return host and port of an address to connect to.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.

    Examples
    --------
    >>> parse("127.0.0.1:99999")
    Traceback (most recent call last):
    ValueError: '127.0.0.1:99999' is not ip:port with an IP address
    """
    try:
        host, port = split(address)
        ipaddress.ip_address(host)
        is_valid = 0 < port <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{address[:100]!r} is not ip:port with an IP address")
    return host, port


def split(address):
    """Return host and port of a valid address.

    The port to listen on may be 0, and the host a name.

    Examples
    --------
    >>> split("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)

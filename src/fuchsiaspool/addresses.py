"""Represent addresses that processes listen on."""

import ipaddress
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

# The address of a member is parsed for each call that is sent to it.
ADDRESS_CACHE_SIZE: Final = 4096
MAX_PORT_DIGITS: Final = 5


class AddressError(ValueError):
    """Signal that a text is not an IP address with a port."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Represent an IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Parse `IP:port`; raise `AddressError` for any other text."""
    host, _, port = text.strip().rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise AddressError(f"expected IP:port, got {text!r}") from error
    # Other digits and signs would be accepted by `int`.
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    number = int(port) if is_number else -1
    if not 0 <= number <= 65_535:
        raise AddressError(f"expected a port from 0 to 65535, got {text!r}")
    return Address(str(address), number)

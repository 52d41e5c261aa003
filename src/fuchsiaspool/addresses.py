"""Name where a process listens, by IP number and port."""

import ipaddress
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

# Members' addresses are read for each call that goes to them.
ADDRESS_CACHE_SIZE: Final = 4096


class AddressError(ValueError):
    """Tell that a text is not an IP number and a port."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Hold an IP number and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Read `IP:port`; raise `AddressError`."""
    host, colon, port = text.strip().rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise AddressError(f"expected IP:port, got {text!r}") from error
    if not colon or not 0 <= number <= 65_535:
        raise AddressError(f"expected a port from 0 to 65535, got {text!r}")
    return Address(str(address), number)

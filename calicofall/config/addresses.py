"""Network addresses in the form of the operators' file, `host:port`."""

from typing import Any

from calicofall.config.errors import DuplicateAddressError, InvalidAddressError, InvalidFieldError

MAX_PORT = 65535


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        InvalidAddressError: The address is not a host, a colon and a port from 1 to 65535.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidAddressError(address)
    return host, int(port)


def validate_management_address(address: Any, listen: str) -> None:
    """Checks that the management address is valid and differs from the address for clients.

    Raises:
        ConfigurationError: It is not an address, or it is the address for clients.
    """
    if not isinstance(address, str):
        raise InvalidFieldError("mgmt", address, "an address")
    if parse_address(address) == parse_address(listen):
        raise DuplicateAddressError("mgmt", address, "listen")

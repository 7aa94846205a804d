"""Errors in a configuration. Operators see the texts."""

from typing import Any


class ConfigurationError(ValueError):
    """Base class of the errors of this package: a configuration is not valid."""


class MissingFieldError(ConfigurationError):
    """A required field is missing or empty."""

    def __init__(self, field: str) -> None:
        self.field = field
        super().__init__(f"{field} is missing")


class InvalidFieldError(ConfigurationError):
    """A field does not have the expected value."""

    def __init__(self, field: str, value: Any, expected: str) -> None:
        self.field = field
        self.value = value
        self.expected = expected
        super().__init__(f"{field} is {value!r}: {expected} would be right")


class DuplicateAddressError(ConfigurationError):
    """Two fields have the same address."""

    def __init__(self, field: str, value: Any, other: str) -> None:
        self.field = field
        self.value = value
        self.other = other
        super().__init__(f"{field} is {value!r}, the same as {other}: another port would be right")


class LimitTooLowError(ConfigurationError):
    """A limit is lower than the minimum that a proxy needs."""

    def __init__(self, field: str, minimum: int) -> None:
        self.field = field
        self.minimum = minimum
        super().__init__(f"{field} is under {minimum}")


class InvalidAddressError(ConfigurationError):
    """A text is not a network address."""

    def __init__(self, address: str) -> None:
        self.address = address
        super().__init__(f"no address of the form host:port: {address!r}")


class InvalidEndpointListError(ConfigurationError):
    """A value is not an endpoint list."""


class InvalidFileError(ConfigurationError):
    """A configuration file cannot be read, or its content is not valid."""

    def __init__(self, path: str, reason: object) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")

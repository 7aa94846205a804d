"""Checks of single values, shared by the modules that read settings."""

from math import isfinite
from typing import Any

from calicofall.config.errors import InvalidFieldError


def is_whole_number(value: Any, minimum: float, maximum: float) -> bool:
    """Whether a value is an integer, but not a boolean, from `minimum` to `maximum`."""
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum


def is_number(value: Any) -> bool:
    """Whether a value is a number, but not a boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def number_or_minus_one(value: Any) -> float:
    """The value as a float, or -1 if it is not a finite number."""
    return float(value) if is_number(value) and isfinite(value) else -1.0


def is_fraction(value: Any) -> bool:
    """Whether a value is a number from 0 to 1."""
    return 0.0 <= number_or_minus_one(value) <= 1.0


def require(field: str, value: Any, valid: bool, expected: str) -> None:
    """Raises an error if a field is not valid.

    Args:
        field: The path of the field in the operators' file.
        value: The value that was found.
        valid: Whether the value is valid.
        expected: What is expected, to complete "... would be right".

    Raises:
        InvalidFieldError: The field is not valid.
    """
    if not valid:
        raise InvalidFieldError(field, value, expected)


def require_boolean(field: str, value: Any) -> None:
    """Raises an error if a field is present and not a boolean."""
    require(field, value, value is None or isinstance(value, bool), "true or false")

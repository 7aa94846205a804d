"""Reads the configuration file of one proxy, completes it from the environment, and checks it."""

import os
from typing import Any

import orjson

from calicofall.config.addresses import parse_address, validate_management_address
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.config.errors import ConfigurationError, InvalidFileError, LimitTooLowError, MissingFieldError
from calicofall.config.settings import (
    descriptor_limit,
    memory_limit_mb,
    normalize_settings,
    parse_seed,
    validate_settings,
)
from calicofall.config.startup import parse_startup_settings
from calicofall.recording import segment_writer

PATH_VARIABLE = "PROXY_CONFIG"
# The fields that environment variables may set, and the names of the variables.
ENVIRONMENT = {
    "name": "PROXY_NAME",
    "listen": "PROXY_LISTEN",
    "discovery": "PROXY_DISCOVERY",
    "mgmt": "PROXY_MGMT",
}
REQUIRED_FIELDS = ("name", "listen", "discovery", "seed", "settings")
REQUIRED_METHOD_SETTINGS = ("name", "repeats", "window", "soft_deadline", "hard_deadline")
MIN_DESCRIPTORS = 64
MIN_MEMORY_MB = 32


def load_node_file(path: str | None, again: bool = False) -> dict[str, Any]:
    """Loads the configuration of a proxy from a file and the environment.

    Args:
        path: The file, or None for the one that PROXY_CONFIG names.
        again: Whether the file is reread. At the start, the environment takes precedence over the file. When
            the file is reread, it takes precedence, since the environment still has the values of the start.

    Raises:
        ConfigurationError: No file is named, or it cannot be read, or its content is not valid.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(f"{PATH_VARIABLE} is missing: it has to name the configuration file")
    try:
        from_file = _read_object(path)
        environment = _read_environment()
        node = environment | from_file if again else from_file | environment
        _validate(node)
    except OSError as error:
        raise InvalidFileError(path, error.strerror) from error
    except KeyError as error:
        raise InvalidFileError(path, MissingFieldError(error.args[0])) from error
    except (ValueError, TypeError, AttributeError) as error:
        raise InvalidFileError(path, error) from error
    return node


def _read_object(path: str) -> dict[str, Any]:
    with open(path, "rb") as file:
        content = orjson.loads(file.read())
    if not isinstance(content, dict):
        raise ConfigurationError("the content is not a JSON object")
    return content


def _read_environment() -> dict[str, Any]:
    return {field: os.environ[name] for field, name in ENVIRONMENT.items() if os.environ.get(name)}


def _validate(node: dict[str, Any]) -> None:
    for name in REQUIRED_FIELDS:
        if not node.get(name):
            raise MissingFieldError(name)
    _validate_addresses(node)
    parse_seed(node["seed"])
    if node.get("known"):
        parse_endpoint_list(node["known"])
    validate_settings(node["settings"])
    parse_startup_settings(node)
    segment_writer.parse_record_settings(node)
    _validate_document(node)
    _require_router_settings(node["settings"])
    _validate_limits(node)


def _validate_addresses(node: dict[str, Any]) -> None:
    parse_address(node["listen"])
    parse_address(node["discovery"])
    if node.get("mgmt"):
        validate_management_address(node["mgmt"], node["listen"])


def _validate_document(node: dict[str, Any]) -> None:
    if node.get("document") is None:
        return
    # Imported only here, so that a start without a settings document does not load the module.
    from calicofall.proxy import configuration_sync

    configuration_sync.initial_document(node)


def _require_router_settings(settings: dict[str, Any]) -> None:
    deployment = normalize_settings(settings)
    _require_keys(deployment, ("methods",))
    for method in deployment["methods"]:
        _require_keys(method, REQUIRED_METHOD_SETTINGS)
    _require_keys(deployment, ("rules", "caps"))


def _require_keys(settings: dict[str, Any], names: tuple[str, ...]) -> None:
    for name in names:
        try:
            settings[name]
        except KeyError as error:
            raise MissingFieldError(name) from error


def _validate_limits(node: dict[str, Any]) -> None:
    if descriptor_limit(node) < MIN_DESCRIPTORS:
        raise LimitTooLowError("limits.sockets", MIN_DESCRIPTORS)
    if memory_limit_mb(node) < MIN_MEMORY_MB:
        raise LimitTooLowError("limits.memory_mb", MIN_MEMORY_MB)

"""Settings of the recording: the object `record` of a proxy's configuration, validated and typed."""

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

BYTES_PER_MB = 1e6
BYTES_PER_KB = 1000.0
NUMBER_LIMIT = 1e9
MIN_SECRET_LENGTH = 8
MAX_SECRET_LENGTH = 64


class RecordSettingsError(ValueError):
    """A setting of the record is invalid; the message names it and gives the expected value."""


class RecordLevel(StrEnum):
    """What is recorded: only the calls of the router, or also events of the proxy outside the router."""

    MODULE = "module"
    PROXY = "proxy"


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """Settings of the record; `CONFIGURATION_NAMES` maps the fields to their names in the configuration.

    Attributes:
        folder: Folder to which segments are written.
        level: What is recorded.
        segment_s: Age at which a segment ends (s).
        segment_mb: Size at which a segment ends (MB).
        keep_minutes: Age beyond which segments are deleted (min).
        keep_mb: Total size beyond which the oldest segments are deleted (MB).
        kb_per_s: Maximum average write rate (kB/s).
        secret: Secret for the pseudonyms of keys and tenants; None if these are recorded unchanged.
    """

    folder: str
    level: RecordLevel = RecordLevel.MODULE
    segment_s: float = 60.0
    segment_mb: float = 8.0
    keep_minutes: float = 15.0
    keep_mb: float = 128.0
    kb_per_s: float = 1024.0
    secret: str | None = None

    @property
    def segment_bytes(self) -> float:
        """Size at which a segment ends, in bytes before compression."""
        return self.segment_mb * BYTES_PER_MB

    @property
    def keep_bytes(self) -> float:
        """Total size of all segments beyond which the oldest are deleted (bytes)."""
        return self.keep_mb * BYTES_PER_MB

    @property
    def keep_s(self) -> float:
        """Age at which segments are deleted (s)."""
        return self.keep_minutes * 60.0

    @property
    def bytes_per_s(self) -> float:
        """Maximum average write rate, in bytes per second before compression."""
        return self.kb_per_s * BYTES_PER_KB


# Names in the configuration by field, in the order in which error messages list them.
CONFIGURATION_NAMES = {
    "folder": "folder",
    "level": "level",
    "segment_s": "segmentS",
    "segment_mb": "segmentMB",
    "keep_minutes": "keepMinutes",
    "keep_mb": "keepMB",
    "kb_per_s": "kBPerS",
    "secret": "secret",
}
NUMBERS = ("segment_s", "segment_mb", "keep_minutes", "keep_mb", "kb_per_s")


def parse_record_settings(node: dict[str, Any]) -> RecordSettings | None:
    """Reads the object `record` of a proxy's configuration.

    Returns:
        The settings, or None if the proxy does not record.

    Raises:
        RecordSettingsError: A setting is unknown or invalid.
    """
    record = node.get("record")
    if record is None:
        return None
    if not isinstance(record, dict):
        raise RecordSettingsError(f"record: expected an object, found {record!r}")
    unknown = sorted(record.keys() - set(CONFIGURATION_NAMES.values()))
    if unknown:
        expected = ", ".join(CONFIGURATION_NAMES.values())
        raise RecordSettingsError(f"record.{unknown[0]}: unknown setting, expected one of {expected}")
    defaults = {field.name: field.default for field in fields(RecordSettings)}
    values = {
        name: record.get(configured, defaults[name]) for name, configured in CONFIGURATION_NAMES.items()
    }
    if not isinstance(values["folder"], str) or not values["folder"]:
        raise RecordSettingsError(f"record.folder: expected the path of a folder, found {values['folder']!r}")
    if values["level"] not in list(RecordLevel):
        raise RecordSettingsError(f"record.level: expected module or proxy, found {values['level']!r}")
    for name in NUMBERS:
        _check_number(CONFIGURATION_NAMES[name], values[name])
    if values["keep_mb"] < 2 * values["segment_mb"]:
        raise RecordSettingsError(
            f"record.keepMB: expected at least two segments of record.segmentMB, "
            f"{2 * values['segment_mb']:g} MB, found {values['keep_mb']:g}"
        )
    _check_secret(values["secret"])
    return RecordSettings(**values | {"level": RecordLevel(values["level"])})


def _check_number(name: str, value: Any) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value < NUMBER_LIMIT:
        raise RecordSettingsError(
            f"record.{name}: expected a number over 0 and under {NUMBER_LIMIT:g}, found {value!r}"
        )


def _check_secret(secret: Any) -> None:
    if secret is None:
        return
    if not isinstance(secret, str) or not MIN_SECRET_LENGTH <= len(secret) <= MAX_SECRET_LENGTH:
        raise RecordSettingsError(
            f"record.secret: expected {MIN_SECRET_LENGTH} to {MAX_SECRET_LENGTH} characters"
        )

"""Settings documents: format, digest, and checks whether one may follow another.

    {"version": 7, "after": 6, "note": "...", "fleet": "east", "members": [0, 1, 2], "keepers": [0, 1, 2],
     "lease": {"s": 3.0, "drift": 0.01, "pauseS": 0.5}, "settings": {...}, "digest": "..."}

`settings` contains the settings that all proxies have in common; `me` and `zone` are set at each proxy.
`keepers` are the voters of configuration_agreement.py. A document with
`"trial": {"members": [0, 1], "s": 10.0, "worse": 0.05}` is not a version, but a canary (canary.py).

Invariants:
    - A document whose digest does not match is rejected.
    - A document that a proxy could not act on is rejected with an error of one line that names the field.
"""

from dataclasses import dataclass
from hashlib import blake2b
from operator import itemgetter
from typing import Any, NamedTuple, NoReturn

import orjson

from calicofall.config.settings import normalize_settings, validate_settings
from calicofall.fleet import settings_compatibility
from calicofall.fleet.configuration_agreement import ConfigurationVersion, grant_duration
from calicofall.fleet.settings_fields import EFFECTS, PROMISES, Binding

PER_PROXY_SETTINGS = ("me", "zone")  # settings that differ between proxies and are not in a document
DEFAULT_VOTER_COUNT = 25  # number of members, the first of the list, that are voters if none are named
MAX_DOCUMENT_BYTES = 1 << 20
DIGEST_BYTES = 16
DOCUMENT_FIELDS = {
    "version",
    "after",
    "note",
    "fleet",
    "members",
    "keepers",
    "lease",
    "settings",
    "digest",
    "trial",
}
CANARY_FIELDS = {"members", "s", "worse"}
LAPSED_VALUES = (None, "go on", "refuse")  # values of a method's `lapsed`
MAX_DURATION_S = 3600.0


@dataclass(frozen=True, slots=True)
class NumberField:
    """A field with a number.

    Attributes:
        name: name of the field in the document.
        default: value if the field is absent.
        minimum: the lowest value.
        maximum: the highest value.
        expected: description of a valid value, for error messages.
        exclusive_minimum: whether the lowest value itself is invalid.
    """

    name: str
    default: float
    minimum: float
    maximum: float
    expected: str
    exclusive_minimum: bool = False

    def accepts(self, data: dict[str, Any]) -> bool:
        """Returns whether the field is absent, or a number within the bounds."""
        value: object = data.get(self.name, self.default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        if self.exclusive_minimum and value == self.minimum:
            return False
        return self.minimum <= value <= self.maximum

    def read(self, data: dict[str, Any]) -> float:
        """Returns the number; `accepts` has to be true for the data."""
        return float(data.get(self.name, self.default))


LEASE_S = NumberField("s", 3.0, 0.5, MAX_DURATION_S, "seconds from 0.5")
LEASE_DRIFT = NumberField("drift", 0.01, 0.0, 0.5, "a number from 0")
LEASE_PAUSE_S = NumberField("pauseS", 0.5, 0.0, MAX_DURATION_S, "a number from 0")
CANARY_DURATION_S = NumberField(
    "s", 10.0, 0.0, MAX_DURATION_S, "a number over 0, to 3600,", exclusive_minimum=True
)
CANARY_INCREASE = NumberField("worse", 0.05, 0.0, 1.0, "a number over 0, to 1,", exclusive_minimum=True)

# Raises KeyError with the first of these names that a normalized method lacks.
_required_of_method = itemgetter("name", "repeats", "window", "soft_deadline", "hard_deadline")


class InvalidDocument(Exception):  # noqa: N818 - other parts use this name
    """A document is invalid; the message is one line.

    Attributes:
        line: line of the document's text, from 1.
    """

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")
        self.line = line


class UnreadableDocumentError(InvalidDocument):
    """A text is not a document at all: it is too long, not JSON or not an object."""


class InvalidFieldError(InvalidDocument):
    """A field of a document is invalid.

    Attributes:
        field: path of the field, such as "lease.s".
        expected: description of a valid value.
    """

    def __init__(self, line: int, field: str, expected: str) -> None:
        super().__init__(line, f"{field}: {expected} would be right")
        self.field = field
        self.expected = expected


class CanaryPlan(NamedTuple):
    """How a version is tried before it is published.

    Attributes:
        members: numbers of the proxies that try the version.
        duration_s: how long they try it.
        max_increase: the tolerated increase of a method's fraction of requests that are not completed.
    """

    members: tuple[int, ...]
    duration_s: float
    max_increase: float


class SettingsDocument(NamedTuple):
    """A document that has been checked.

    Attributes:
        version: number of the version, from 1.
        previous: the version that this one follows; 0 for the first.
        note: a remark of the operators.
        fleet: name of the fleet.
        members: numbers of the proxies that belong to the fleet.
        voters: the members that are voters.
        lease_s: duration of a lease.
        drift: largest relative difference between the rates of two clocks.
        pause_s: the longest time for which a process can be stopped, without noticing, before a send.
        settings: the settings that all proxies have in common, in the operators' form.
        digest: digest of all other fields.
        canary: how the version is tried; None if the document is a version.
    """

    version: int
    previous: int
    note: str
    fleet: str
    members: tuple[int, ...]
    voters: tuple[int, ...]
    lease_s: float
    drift: float
    pause_s: float
    settings: dict[str, Any]
    digest: str
    canary: CanaryPlan | None = None

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """The fields that configuration agreement needs."""
        return ConfigurationVersion(
            self.version, frozenset(self.members), frozenset(self.voters), self.previous
        )

    @property
    def supersession_bound_s(self) -> float:
        """The longest time for which a proxy acts on this version alone once a majority holds a newer one."""
        return grant_duration(self.lease_s, self.drift) + self.pause_s

    def to_json(self) -> dict[str, Any]:
        """Returns the document in its JSON form, without `digest` and `trial`."""
        return {
            "version": self.version,
            "after": self.previous,
            "note": self.note,
            "fleet": self.fleet,
            "members": list(self.members),
            "keepers": list(self.voters),
            "lease": {"s": self.lease_s, "drift": self.drift, "pauseS": self.pause_s},
            "settings": self.settings,
        }


# Reading and writing


def document_digest(data: dict[str, Any]) -> str:
    """Returns the digest of all fields but `digest` itself, which does not depend on the order of names."""
    content = {name: value for name, value in data.items() if name != "digest"}
    body = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def seal_document(data: dict[str, Any]) -> dict[str, Any]:
    """Returns the document with its digest."""
    return data | {"digest": document_digest(data)}


def parse_document(text: str | bytes, sealed_only: bool = True) -> SettingsDocument:
    """Reads and checks a document.

    Args:
        text: the document as JSON.
        sealed_only: whether the document's digest has to match.

    Raises:
        InvalidDocument: the document is invalid; the message names the line of the text and the field.
    """
    if isinstance(text, bytes):
        text = text.decode(errors="replace")
    return _DocumentReader(text).read(sealed_only)


class _DocumentReader:
    """Reads one document; a text with several errors is rejected for the first, in the order of `read`."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.data = self._load()

    def read(self, sealed_only: bool) -> SettingsDocument:
        data = self.data
        self._check_names()
        self._check_versions()
        self._check_texts()
        members = self._read_members()
        voters = self._read_voters(members)
        lease = self._read_lease()
        canary = self._read_canary(members)
        if sealed_only and data.get("digest") != document_digest(data):
            self._fail("digest", "the one of this text (calicofall settings check --seal)")
        settings = self._read_settings()
        return SettingsDocument(
            version=data["version"],
            previous=data["after"],
            note=data.get("note", ""),
            fleet=data["fleet"],
            members=tuple(members),
            voters=tuple(voters),
            lease_s=LEASE_S.read(lease),
            drift=LEASE_DRIFT.read(lease),
            pause_s=LEASE_PAUSE_S.read(lease),
            settings=settings,
            digest=data.get("digest") or document_digest(data),
            canary=canary,
        )

    def _load(self) -> dict[str, Any]:
        if len(self.text) > MAX_DOCUMENT_BYTES:
            raise UnreadableDocumentError(1, f"the document is longer than {MAX_DOCUMENT_BYTES} bytes")
        try:
            data = orjson.loads(self.text)
        except orjson.JSONDecodeError as error:
            raise UnreadableDocumentError(error.lineno, f"invalid JSON: {error.msg}") from error
        if not isinstance(data, dict):
            raise UnreadableDocumentError(1, "the document: an object would be right")
        return data

    def _error(self, path: str, expected: str) -> InvalidFieldError:
        return InvalidFieldError(_line_of(self.text, path), path, expected)

    def _fail(self, path: str, expected: str) -> NoReturn:
        raise self._error(path, expected)

    def _check_names(self) -> None:
        unknown = sorted(set(self.data) - DOCUMENT_FIELDS)
        if unknown:
            self._fail(unknown[0], f"one of {', '.join(sorted(DOCUMENT_FIELDS))}")

    def _check_versions(self) -> None:
        for name, minimum in (("version", 1), ("after", 0)):
            value = self.data.get(name)
            if type(value) is not int or value < minimum:
                self._fail(name, f"a whole number from {minimum}")
        if self.data["after"] >= self.data["version"]:
            self._fail("after", "the version before it")

    def _check_texts(self) -> None:
        if not isinstance(self.data.get("note", ""), str):
            self._fail("note", "a text")
        fleet = self.data.get("fleet")
        if not isinstance(fleet, str) or not fleet:
            self._fail("fleet", "a text")

    def _check_number(self, part: str, field: NumberField, data: dict[str, Any]) -> None:
        if not field.accepts(data):
            self._fail(f"{part}.{field.name}", field.expected)

    def _read_members(self) -> list[int]:
        members = self.data.get("members")
        if (
            not isinstance(members, list)
            or not members
            or any(type(member) is not int or member < 0 for member in members)
            or len(set(members)) < len(members)
        ):
            self._fail("members", "a list of proxies' numbers, each once,")
        return members

    def _read_voters(self, members: list[int]) -> list[int]:
        voters = self.data.get("keepers", members[:DEFAULT_VOTER_COUNT])
        if not isinstance(voters, list) or not voters or not set(voters) <= set(members):
            self._fail("keepers", "a list of members")
        return voters

    def _read_lease(self) -> dict[str, Any]:
        lease = self.data.get("lease") or {}
        if not isinstance(lease, dict):
            self._fail("lease", "an object")
        for field in (LEASE_S, LEASE_DRIFT, LEASE_PAUSE_S):
            self._check_number("lease", field, lease)
        return lease

    def _read_canary(self, members: list[int]) -> CanaryPlan | None:
        canary = self.data.get("trial")
        if canary is None:
            return None
        if not isinstance(canary, dict) or canary.keys() - CANARY_FIELDS:
            self._fail("trial", "an object of members, s and worse")
        chosen = canary.get("members")
        if not isinstance(chosen, list) or not chosen or not set(map(str, chosen)) < set(map(str, members)):
            self._fail("trial.members", "a part of the members")
        for field in (CANARY_DURATION_S, CANARY_INCREASE):
            self._check_number("trial", field, canary)
        return CanaryPlan(tuple(chosen), CANARY_DURATION_S.read(canary), CANARY_INCREASE.read(canary))

    def _read_settings(self) -> dict[str, Any]:
        settings = self.data.get("settings")
        if not isinstance(settings, dict):
            self._fail("settings", "an object")
        for name in PER_PROXY_SETTINGS:
            if name in settings:
                self._fail(f"settings.{name}", "nothing here: it is each proxy's own")
        self._check_settings(settings)
        for index, method in enumerate(settings["methods"]):
            self._check_method(f"settings.methods[{index}]", method)
        return settings

    def _check_settings(self, settings: dict[str, Any]) -> None:
        """Checks that a proxy can act on the settings."""
        try:
            validate_settings(settings)
            normalized = normalize_settings(settings)
            for method in normalized["methods"]:
                _required_of_method(method)
            itemgetter("rules", "caps")(normalized)
        except KeyError as error:
            raise self._error(f"settings.{error.args[0]}", "a value") from error
        except (ValueError, TypeError, AttributeError) as error:
            # Errors of `validate_settings` and `normalize_settings` have the form
            # "PATH is VALUE: EXPECTED would be right".
            path, _, rest = str(error).partition(" is ")
            expected = rest.partition(": ")[2].removesuffix(" would be right")
            field = path if path.startswith("settings") else "settings"
            raise self._error(field, expected or "another") from error

    def _check_method(self, path: str, method: dict[str, Any]) -> None:
        """Checks the fields of a method that affect agreement."""
        promises = method.get("keeps") or []
        if not isinstance(promises, list) or any(promise not in PROMISES for promise in promises):
            self._fail(f"{path}.keeps", "a list of " + " and ".join(PROMISES))
        if method.get("lapsed") not in LAPSED_VALUES:
            self._fail(f"{path}.lapsed", "go on or refuse")
        if method.get("effect") not in EFFECTS:
            self._fail(f"{path}.effect", "one of " + ", ".join(EFFECTS))


def _line_of(text: str, path: str) -> int:
    """Returns the line of a field in the text, found by the last name of its path; 1 if it is not found."""
    name = path.rpartition(".")[2].partition("[")[0]
    position = text.find(f'"{name}"')
    return text.count("\n", 0, position) + 1 if position >= 0 else 1


# Succession


def succession_errors(older: SettingsDocument, newer: SettingsDocument) -> list[str]:
    """Returns the reasons why a document cannot follow another, one line each; empty if it can."""
    return [*_header_errors(older, newer), *_settings_errors(older.settings, newer.settings)]


def _header_errors(older: SettingsDocument, newer: SettingsDocument) -> list[str]:
    errors = []
    if newer.previous != older.version:
        errors.append(f"after: {newer.previous} is not the version in force, {older.version}")
    if newer.version <= older.version:
        errors.append(f"version: {newer.version} is not over {older.version}")
    if newer.fleet != older.fleet:
        errors.append(f"fleet: {newer.fleet!r} is not {older.fleet!r}")
    if len(set(older.members) ^ set(newer.members)) > 1:
        errors.append("members: one at a time may come or go")
    if len(set(older.voters) ^ set(newer.voters)) > 2:
        errors.append("keepers: one at a time may be exchanged")
    if (newer.lease_s, newer.drift, newer.pause_s) != (older.lease_s, older.drift, older.pause_s):
        errors.append("lease: takes a restart of all")
    return errors


def _settings_errors(older: dict[str, Any], newer: dict[str, Any]) -> list[str]:
    errors = [
        f"{change.path}: takes a restart"
        for change in settings_compatibility.changes(older, newer)
        if change.field.binding is Binding.FIXED
    ]
    errors += [
        f"{path}: is promised; withdraw it from keeps in a version before"
        for path in settings_compatibility.broken_promises(older, newer)
    ]
    errors += [
        f"methods.{method['name']}: nothing would be left in between: widen its places in a version before"
        for method in settings_compatibility.combine_settings(older, newer)["methods"]
        if settings_compatibility.has_no_place(method)
    ]
    return errors

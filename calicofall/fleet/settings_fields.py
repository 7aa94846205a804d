"""Table of the fields of the settings: which of them bind, and how two values of a field are combined.

A field binds if a proxy must not do what another proxy's version of the field forbids. The values of every
binding field are ordered from the most to the least permissive, and two versions are combined to the more
restrictive value.

Invariants:
    - A field that another proxy relies on is not `NOT_BINDING`.
    - The combination of two values allows nothing that one of them forbids.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

NO_PLACE = "\0nowhere"  # a kind of cache, or a zone, that no endpoint has
EFFECTS = ("pure", "token", "side_effect")  # effects of a method, from the most to the least repeatable
GROUPS = ("all", "zone", "cell")  # where a deduplicated write may be repeated, from most to least permissive
NORMALIZED_EFFECTS = ("retriable", "deduped", "non-retriable")  # EFFECTS in normalized settings
PLACE_FIELDS = ("kindsOpen", "failureDomainsOnly")  # fields that restrict a method to some endpoints

# By promise that `keeps` may contain, the fields that a later version must not restrict then.
PROMISED_FIELDS = {
    "place": PLACE_FIELDS,
    "repeats": ("effect", "group", "windowNs"),
}
PROMISES = tuple(PROMISED_FIELDS)


class Binding(StrEnum):
    """How a field binds, which determines how two values of it are combined."""

    INTERSECTION = "only"  # a list of allowed items: the items in both lists
    STRICTER = "order"  # one of a few words: the more restrictive one
    MINIMUM = "least"
    MAXIMUM = "most"
    BOTH_ON = "off"  # on only if it is on in both versions
    NOT_BINDING = "loose"  # the value of the newer version
    FIXED = "fixed"  # cannot change without a restart


class Field(NamedTuple):
    """How a field binds.

    Attributes:
        binding: how two values of the field are combined.
        explanation: what that means for a change, as shown to operators.
    """

    binding: Binding
    explanation: str

    @property
    def binds(self) -> bool:
        """Whether two versions that differ in the field contradict each other."""
        return self.binding not in (Binding.NOT_BINDING, Binding.FIXED)


FIXED = Field(Binding.FIXED, "takes a restart")
NOT_BINDING = Field(Binding.NOT_BINDING, "")
UNKNOWN = Field(Binding.FIXED, "unknown: takes a restart")
ADDED_OR_REMOVED = Field(Binding.INTERSECTION, "one that is new or gone is refused in between")

METHOD_FIELDS: dict[str, Field] = {
    "kindsOpen": Field(Binding.INTERSECTION, "places: widened first where nothing would be left"),
    "failureDomainsOnly": Field(Binding.INTERSECTION, "places: widened first where nothing would be left"),
    "effect": Field(Binding.STRICTER, "pure, token, side_effect: the stricter of both in between"),
    "group": Field(Binding.STRICTER, "all, zone, cell: the stricter of both in between"),
    "windowNs": Field(Binding.MINIMUM, "the shorter of both in between"),
    "hardDeadlineNs": Field(Binding.MINIMUM, "the sooner of both in between"),
    "streaming": FIXED,
    "keeps": Field(Binding.INTERSECTION, "withdrawn in a version of its own, acknowledged by every member"),
    "gain": NOT_BINDING,
    "softDeadlineNs": NOT_BINDING,
    "tardyGain": NOT_BINDING,
    "lapsed": Field(Binding.NOT_BINDING, "go on, or refuse, without a lease"),
}
TENANT_FIELDS: dict[str, Field] = {
    "quotaPerS": Field(Binding.MINIMUM, "the lower of both in between"),
    "share": NOT_BINDING,
}
CAP_FIELDS: dict[str, Field] = {
    "mostTransmissions": Field(Binding.MINIMUM, "the fewer of both in between"),
    "streamsPerConn": Field(Binding.MINIMUM, "the fewer of both in between"),
    "secondCopies": Field(Binding.BOTH_ON, "off while either says so"),
    "peerMessages": Field(Binding.BOTH_ON, "likewise"),
    "probes": Field(Binding.BOTH_ON, "likewise"),
    "retryAfter": Field(Binding.BOTH_ON, "likewise"),
    "maxRetryAfterNs": Field(Binding.MINIMUM, "the shorter of both in between"),
    "responseRoom": Field(Binding.MINIMUM, "the fewer of both in between"),
    "cancel": NOT_BINDING,
    "dialTimeoutNs": NOT_BINDING,
    "connIdleNs": Field(Binding.MINIMUM, ""),
}
RULE_FIELDS: dict[str, Field] = {
    "drainGraceNs": Field(Binding.MINIMUM, "the shorter of both in between"),
    "startCapacity": Field(Binding.MINIMUM, "the lower of both in between"),
    "coldNs": Field(Binding.MAXIMUM, "the longer of both in between"),
    "fallMultiple": Field(Binding.MINIMUM, "the lower of both in between"),
    "fallNs": Field(Binding.MINIMUM, "the shorter of both in between"),
    "askEveryNs": Field(Binding.MINIMUM, ""),
    "answerSlackNs": Field(Binding.MINIMUM, ""),
    "removalNotBinding": Field(Binding.BOTH_ON, "off while either says so"),
    "spareAttempts": Field(Binding.MINIMUM, "the fewer of both in between"),
    "repeatRatio": Field(Binding.MINIMUM, "the lower of both in between"),
    "resendSpanNs": FIXED,
    "leftOffNs": Field(Binding.MAXIMUM, "the longer of both in between"),
    "bootStampErrorNs": Field(Binding.MAXIMUM, "the longer of both in between"),
}
TOP_LEVEL_FIELDS: dict[str, Field] = {
    name: FIXED
    for name in ("balancers", "me", "kinds", "failureDomains", "zone", "discovery", "domain", "stats")
} | {name: NOT_BINDING for name in ("overageGain", "blend", "costs", "pins")}

# Parts of the settings with tables of their own.
NAMED_PARTS = {"methods": METHOD_FIELDS, "realms": TENANT_FIELDS}  # lists of objects with a name
PLAIN_PARTS = {"caps": CAP_FIELDS, "rules": RULE_FIELDS}  # objects

ORDERS = {"effect": EFFECTS, "group": GROUPS, "repeats": NORMALIZED_EFFECTS}  # by field, words in order


def _intersection(name: str, older: list[Any], newer: list[Any]) -> list[Any]:
    return [item for item in older if item in newer] or [NO_PLACE]


def _stricter(name: str, older: str, newer: str) -> str:
    return max(older, newer, key=ORDERS[name].index)


_COMBINED: Mapping[Binding, Callable[[str, Any, Any], Any]] = {
    Binding.INTERSECTION: _intersection,
    Binding.STRICTER: _stricter,
    Binding.BOTH_ON: lambda name, older, newer: older and newer,
    Binding.MINIMUM: lambda name, older, newer: min(older, newer),
    Binding.MAXIMUM: lambda name, older, newer: max(older, newer),
}


def combine_values(name: str, field: Field, older: Any, newer: Any) -> Any:
    """Returns the combination of two values of a field.

    Args:
        name: name of the field in a settings document or in normalized settings.
        field: how the field binds.
        older: value in the older version; None if it is absent, which is most permissive.
        newer: value in the newer version; None if it is absent, which is most permissive.
    """
    if older == newer:
        return older
    if not field.binds:
        return newer
    if older is not None and newer is not None:
        return _COMBINED[field.binding](name, older, newer)
    if field.binding is Binding.BOTH_ON:
        return False
    return newer if older is None else older

"""Keeps this proxy's settings in step with the fleet's, without a restart.

Watches the source for settings documents, lets the configuration agreement tell which versions hold and for
how long, runs canaries, and applies the settings that follow.

Invariants: which version holds is decided by `fleet.configuration_agreement`, and whether a canary does well
by `fleet.canary`; a document is applied whole or not at all; nothing is sent under a lease that has lapsed.
"""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import orjson

from calicofall.config.startup import parse_startup_settings
from calicofall.fleet import settings_compatibility, settings_document
from calicofall.fleet.canary import OBSERVATION_INTERVAL_S, Canary, CanaryReport, RequestCounts
from calicofall.fleet.configuration_agreement import AgreementMessage, ConfigurationAgreement, LeaseStatus
from calicofall.fleet.settings_document import SettingsDocument
from calicofall.proxy.discovery import Discovery
from calicofall.startup.discovery_schedule import DiscoverySchedule

log = logging.getLogger("calicofall")


class AgreementState(NamedTuple):
    """What the lease status rests on, beside time."""

    known: int
    effect: int
    proved: bool


class DocumentWatch(Discovery):
    """The watch on the settings: each line is a document; it begins with all after the version held."""

    path = "/api/settings"
    subject = "settings"

    def on_message(self, line: bytes) -> None:
        """Hands over one document."""
        self.schedule.reset_backoff()
        self.on_answer()
        if self.is_down:
            self.is_down = False
            log.info("settings watch back", extra={"version": self.version})
        self.on_list(line)


class ConfigurationSync:
    """The settings documents that are held here, and what of them is applied.

    Args:
        loop: The event loop.
        open_connection: Opens the connection to the source (see `connection.open_connection`).
        address: Of the source, as host:port.
        me: This proxy's number.
        incarnation: Which start of this proxy this is.
        own_settings: Settings of this proxy alone, which win over those of documents.
        first: The document that the proxy starts with.
        random: The source of random numbers.
        send: Sends a message to a proxy.
        on_settings: Takes the settings to act on, each time they change.
        on_members: Takes the proxies that belong to the fleet.
        read_counts: Gives how many requests have ended, and how, by method.
    """

    def __init__(  # noqa: PLR0913 - wiring: each is made elsewhere and handed over once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        open_connection: Callable[..., None],
        address: str,
        me: int,
        incarnation: int,
        own_settings: dict[str, Any],
        first: SettingsDocument,
        random: Random,
        send: Callable[[int, AgreementMessage], None],
        on_settings: Callable[[dict[str, Any]], None],
        on_members: Callable[[frozenset[int]], None],
        read_counts: Callable[[], RequestCounts],
    ) -> None:
        self.loop = loop
        self.me = me
        self.own_settings = own_settings
        self.send = send
        self.on_settings = on_settings
        self.on_members = on_members
        self.read_counts = read_counts
        self.documents = {first.version: first}
        self.agreement = ConfigurationAgreement(
            me, incarnation, loop.time(), first.lease_s, first.drift, random
        )
        self.watch = DocumentWatch(
            loop,
            open_connection,
            address,
            first.version,
            DiscoverySchedule(random, len(first.members)),
            self.on_document,
            lambda: None,
            lambda phase: None,
        )
        self.lease_status = LeaseStatus((), False)
        self.valid_until = 0.0  # when the lease lapses, on the loop's clock
        self.last_seen_state = AgreementState(0, 0, False)  # at the last refresh
        self.settings: dict[str, Any] | None = None  # what is applied
        self.canary = Canary()
        self.canary_document = first  # of the version that is tried here, while one is
        self.refused: dict[int, str] = {}  # versions that were not taken, and why
        self.timer: asyncio.TimerHandle | None = None
        self.agreement.on_document(loop.time(), first.configuration_version)
        self.refresh()

    def start(self) -> None:
        """Begins the watch on the source and the rounds of agreement."""
        self.watch.start()
        self.wake()

    def wake(self) -> None:
        """Sends what the agreement asks for, looks at the canary, and schedules the next round."""
        if self.timer is not None:
            self.timer.cancel()
        messages, next_at = self.agreement.wake(self.loop.time())
        for member, message in messages:
            self.send(member, message)
        self.timer = self.loop.call_at(min(next_at, self.loop.time() + OBSERVATION_INTERVAL_S), self.wake)
        if self.canary.observe(self.loop.time(), self.read_counts()):
            self.finish_canary()
        self.refresh()

    def on_message(self, message: AgreementMessage) -> None:
        """Takes a peer's message, and answers a question."""
        now = self.loop.time()
        if message.is_request:
            self.send(message.sender, self.agreement.on_request(now, message))
        else:
            self.agreement.on_response(now, message)
        # A lease that goes on is looked at where it is used, and in each round.
        if not self.lease_status.leased or self.agreement_state() != self.last_seen_state:
            self.refresh()

    def agreement_state(self) -> AgreementState:
        """What the lease status rests on now, beside time."""
        return AgreementState(
            self.agreement.highest_known, self.agreement.effective_version, self.agreement.confirmed
        )

    def on_document(self, line: bytes) -> None:
        """Takes what the source has sent: a document, or something that is none."""
        try:
            document = settings_document.parse_document(line)
            predecessor = self.documents.get(document.previous)
            reasons = (
                settings_document.succession_errors(predecessor, document) if predecessor is not None else []
            )
        except settings_document.InvalidDocument as error:
            log.warning("settings refused", extra={"reason": str(error)})
            return
        if document.canary is not None:
            self.begin_canary(document, reasons)
        elif reasons:
            self._refuse(document, reasons[0], "settings refused")
        elif self.agreement.on_document(self.loop.time(), document.configuration_version):
            self.documents[document.version] = document
            self.watch.version = document.version
            log.info("settings heard", extra={"version": document.version, "note": document.note or None})
            self.wake()

    def _refuse(self, document: SettingsDocument, reason: str, event: str) -> None:
        self.refused[document.version] = reason
        log.warning(event, extra={"version": document.version, "reason": reason})

    def begin_canary(self, document: SettingsDocument, reasons: list[str]) -> None:
        """Takes a version that is to be tried, here or at other proxies.

        Args:
            document: The version, with its plan.
            reasons: Why it can't follow the version before it; empty if it can.
        """
        if self.canary.abort("another trial"):
            self.finish_canary()
        plan = document.canary
        if plan is None or self.me not in plan.members:
            return
        if document.previous not in self.documents:
            reasons = [f"after: {document.previous} is not the version in force"]
        elif self.lease_status != LeaseStatus((document.previous,), True):
            reasons = reasons or ["the version before it is not in effect here"]
        if reasons:
            self._refuse(document, reasons[0], "trial refused")
            return
        self.refused.pop(document.version, None)
        self.canary_document = document
        self.canary.begin(
            self.loop.time(), document.version, plan.duration_s, plan.max_increase, self.read_counts()
        )
        log.info(
            "trial",
            extra={"version": document.version, "for_s": plan.duration_s, "note": document.note or None},
        )
        self.apply_effective_settings()

    def finish_canary(self) -> None:
        """Reports on a canary that has ended, and applies what was in effect before it."""
        report = self.canary.report
        if report is not None:
            _log_canary_report(report)
        self.apply_effective_settings()

    def apply_effective_settings(self) -> None:
        """Hands over the settings to act on, if they differ from those applied."""
        settings = self.effective_settings()
        if settings != self.settings:
            self.settings = settings
            self.on_settings(settings | self.own_settings)

    def refresh(self) -> None:
        """Applies what may be acted on now, where it differs: after each message, and before each send."""
        now = self.loop.time()
        self.last_seen_state = self.agreement_state()
        status = self.agreement.lease_status(now)
        self.valid_until = self.agreement.leased_until(now) if status.leased else float("inf")
        if status == self.lease_status and self.settings is not None:
            return
        previous = self.lease_status
        self.lease_status = status
        # Without this, a canary would go on at a proxy that can't tell whether the version before it holds.
        if self.canary.abort("another version" if status.leased else "no lease"):
            self.finish_canary()
        _log_lease_status(status, previous)
        self._drop_documents_before(min(status.versions, default=0))
        nobody: frozenset[int] = frozenset()
        self.on_members(nobody.union(*(document.members for document in self.documents.values())))
        self.apply_effective_settings()

    def _drop_documents_before(self, version: int) -> None:
        for superseded in [held for held in self.documents if held < version]:
            del self.documents[superseded]

    def effective_settings(self) -> dict[str, Any]:
        """What all versions that may be in effect allow, with the canary's if one is tried here."""
        first, *rest = [self.documents[version].settings for version in self.lease_status.versions]
        for settings in rest:
            first = settings_compatibility.combine_settings(first, settings)
        if not self.lease_status.leased:
            return settings_compatibility.restrict_without_lease(first)
        if self.canary.is_trying:
            return settings_compatibility.combine_settings(first, self.canary_document.settings)
        return first

    def refresh_if_due(self) -> None:
        """Refreshes if the lease has lapsed; called right before a decision and before a send.

        The clock is read here, not when the lease was given. Without this, a process that was stopped for
        longer than its lease would go on in the middle under settings that no longer hold.
        """
        if self.loop.time() >= self.valid_until:
            self.refresh()

    def format_lines(self) -> list[str]:
        """The metrics that operators read."""
        latest = self.documents[max(self.documents)]
        left_s = self.valid_until - self.loop.time()
        held = ",".join(map(str, sorted(self.documents)))
        return [
            f"settings.me:{self.me}",
            f"settings.in_effect:{self.agreement.effective_version}",
            f"settings.held:{held}",
            f"settings.known:{self.agreement.highest_known}",
            f"settings.leased:{int(self.lease_status.leased)}",
            f"settings.lease_left_s:{left_s if self.lease_status.leased else 0.0:.2f}",
            f"settings.bound_s:{latest.supersession_bound_s:.2f}",
            f"settings.digest:{latest.digest}",
            *self._canary_lines(),
            *(f"settings.refused:{version} {why}" for version, why in sorted(self.refused.items())),
        ]

    def _canary_lines(self) -> list[str]:
        report = self.canary.report
        if report is None:
            return []
        return [
            f"settings.trial:{report.version} {report.state} method={report.method or '-'} "
            f"not_completed={report.failed_fraction:.3f} before={report.baseline_failed_fraction:.3f} "
            f"of={report.request_count} why={report.reason or '-'}"
        ]

    def close(self) -> None:
        """Ends the watch and the rounds."""
        self.watch.stop()
        if self.timer is not None:
            self.timer.cancel()


def initial_document(node: dict[str, Any]) -> SettingsDocument | None:
    """The document that a node's configuration names; None where it names none.

    Raises:
        ValueError: The document is invalid, of another fleet, or lacks the settings of gossip.
    """
    if node.get("document") is None:
        return None
    try:
        document = settings_document.parse_document(orjson.dumps(node["document"]))
    except settings_document.InvalidDocument as error:
        raise ValueError(f"document: {str(error).partition(': ')[2]}") from None
    if "gossip_address" not in parse_startup_settings(node):
        raise ValueError("document: start.speak, start.peers and start.fleet are needed with it")
    if document.fleet != node["start"]["fleet"]:
        raise ValueError(f"document: fleet is {document.fleet!r}, start.fleet {node['start']['fleet']!r}")
    return document


def _log_lease_status(status: LeaseStatus, previous: LeaseStatus) -> None:
    log.info(
        "settings",
        extra={
            "versions": ",".join(map(str, status.versions)),
            "leased": status.leased,
            "before": ",".join(map(str, previous.versions)) or None,
        },
    )


def _log_canary_report(report: CanaryReport) -> None:
    log.warning(
        "trial over",
        extra={
            "version": report.version,
            "verdict": report.state,
            "why": report.reason or None,
            "method": report.method or None,
            "not_completed": round(report.failed_fraction, 3),
            "before": round(report.baseline_failed_fraction, 3),
            "of": report.request_count,
        },
    )

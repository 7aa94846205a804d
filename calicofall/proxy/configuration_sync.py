"""Keeps this proxy's settings consistent with the fleet's, without a restart.

Watches the source for settings documents, follows the configuration agreement on which versions are in effect
and for how long, runs canaries, and applies the resulting settings.

Invariants: `fleet.configuration_agreement` decides which version is in effect, and `fleet.canary` whether a
canary succeeds; a document is applied whole or not at all; nothing is sent under a lease that has expired.
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
    """The part of the agreement's state that, with the time, determines the lease status."""

    highest_known_version: int
    effective_version: int
    confirmed: bool


class DocumentWatch(Discovery):
    """The watch on settings documents: one document a line, beginning after the version that is held."""

    path = "/api/settings"
    subject = "settings"
    versions_differ_by_service = False  # they are the fleet's

    def on_message(self, line: bytes) -> None:
        """Passes on one document."""
        self.schedule.reset_backoff()
        self.on_answer()
        if self.is_down:
            self.is_down = False
            log.info("settings watch back", extra={"version": self.version})
        self.on_list(line)


class ConfigurationSync:
    """The settings documents that this proxy holds, and the settings applied from them.

    Args:
        loop: The event loop.
        open_connection: Opens the connection to the source (see `connection.open_connection`).
        address: The source, as host:port.
        proxy_number: This proxy's number.
        incarnation: The number of this proxy's incarnation.
        own_settings: Settings of this proxy alone, which override those of documents.
        first_document: The document that the proxy starts with.
        random_generator: The source of random numbers.
        send: Sends a message to a proxy.
        on_settings: Called with the settings to apply, each time they change.
        on_members: Called with the numbers of the proxies that belong to the fleet.
        read_counts: Returns the number of requests that have ended, by method and outcome.
    """

    def __init__(  # noqa: PLR0913 - passed once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        open_connection: Callable[..., None],
        address: str,
        proxy_number: int,
        incarnation: int,
        own_settings: dict[str, Any],
        first_document: SettingsDocument,
        random_generator: Random,
        send: Callable[[int, AgreementMessage], None],
        on_settings: Callable[[dict[str, Any]], None],
        on_members: Callable[[frozenset[int]], None],
        read_counts: Callable[[], RequestCounts],
    ) -> None:
        self.loop = loop
        self.proxy_number = proxy_number
        self.own_settings = own_settings
        self.send = send
        self.on_settings = on_settings
        self.on_members = on_members
        self.read_counts = read_counts
        self.documents = {first_document.version: first_document}
        self.agreement = ConfigurationAgreement(
            proxy_number,
            incarnation,
            loop.time(),
            first_document.lease_s,
            first_document.drift,
            random_generator,
        )
        self.watch = DocumentWatch(
            loop,
            open_connection,
            address,
            first_document.version,
            DiscoverySchedule(random_generator, len(first_document.members)),
            self.on_document,
            lambda: None,
            lambda phase: None,
        )
        self.lease_status = LeaseStatus((), False)
        self.valid_until = 0.0  # when the lease expires (s, the loop's clock)
        self.last_agreement_state = AgreementState(0, 0, False)  # at the last refresh
        self.settings: dict[str, Any] | None = None  # the settings that are applied
        self.canary = Canary()
        self.canary_document = first_document  # the canary's document, while a canary runs
        self.refusal_reasons: dict[int, str] = {}  # by refused version
        self.timer: asyncio.TimerHandle | None = None
        self.agreement.on_document(loop.time(), first_document.configuration_version)
        self.refresh()

    def start(self) -> None:
        """Starts the watch on the source and the rounds of agreement."""
        self.watch.start()
        self.wake()

    def change_address(self, address: str) -> None:
        """Moves the watch to another source of the same documents, as host:port."""
        self.watch.change_address(address)

    def wake(self) -> None:
        """Sends the agreement's messages, evaluates the canary, and schedules the next round."""
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
        """Handles a peer's message, and responds if it is a request."""
        now = self.loop.time()
        if message.is_request:
            self.send(message.sender, self.agreement.on_request(now, message))
        else:
            self.agreement.on_response(now, message)
        # A lease that stays valid is checked where it is used, and in each round.
        if not self.lease_status.leased or self.agreement_state() != self.last_agreement_state:
            self.refresh()

    def agreement_state(self) -> AgreementState:
        """Returns the part of the agreement's state that, with the time, determines the lease status."""
        return AgreementState(
            self.agreement.highest_known, self.agreement.effective_version, self.agreement.confirmed
        )

    def on_document(self, line: bytes) -> None:
        """Handles a line that the source has sent; one that is not a valid document is logged and refused."""
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
        self.refusal_reasons[document.version] = reason
        log.warning(event, extra={"version": document.version, "reason": reason})

    def begin_canary(self, document: SettingsDocument, reasons: list[str]) -> None:
        """Starts a canary if this proxy is one of its members; ends one that is running.

        Args:
            document: The canary's version, with its plan.
            reasons: Why it can't follow the version before it; empty if it can.
        """
        if self.canary.abort("another trial"):
            self.finish_canary()
        plan = document.canary
        if plan is None or self.proxy_number not in plan.members:
            return
        if document.previous not in self.documents:
            reasons = [f"after: {document.previous} is not the version in force"]
        elif self.lease_status != LeaseStatus((document.previous,), True):
            reasons = reasons or ["the version before it is not in effect here"]
        if reasons:
            self._refuse(document, reasons[0], "trial refused")
            return
        self.refusal_reasons.pop(document.version, None)
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
        """Logs the report of a canary that has ended, and applies the settings in effect without it."""
        report = self.canary.report
        if report is not None:
            _log_canary_report(report)
        self.apply_effective_settings()

    def apply_effective_settings(self) -> None:
        """Passes on the effective settings if they differ from those applied."""
        settings = self.effective_settings()
        if settings != self.settings:
            self.settings = settings
            self.on_settings(settings | self.own_settings)

    def refresh(self) -> None:
        """Updates the lease status, and applies the effective settings if it has changed."""
        now = self.loop.time()
        self.last_agreement_state = self.agreement_state()
        status = self.agreement.lease_status(now)
        self.valid_until = self.agreement.leased_until(now) if status.leased else float("inf")
        if status == self.lease_status and self.settings is not None:
            return
        previous = self.lease_status
        self.lease_status = status
        # Without this, a canary would continue at a proxy that can't know whether the version before it is
        # still in effect.
        if self.canary.abort("another version" if status.leased else "no lease"):
            self.finish_canary()
        _log_lease_status(status, previous)
        self._drop_documents_before(min(status.versions, default=0))
        no_members: frozenset[int] = frozenset()
        self.on_members(no_members.union(*(document.members for document in self.documents.values())))
        self.apply_effective_settings()

    def _drop_documents_before(self, version: int) -> None:
        for superseded_version in [held_version for held_version in self.documents if held_version < version]:
            del self.documents[superseded_version]

    def effective_settings(self) -> dict[str, Any]:
        """Returns what all versions that may be in effect allow, and the canary's while one runs here.

        Without a lease the settings are restricted further.
        """
        combined, *other_settings = [
            self.documents[version].settings for version in self.lease_status.versions
        ]
        for settings in other_settings:
            combined = settings_compatibility.combine_settings(combined, settings)
        if not self.lease_status.leased:
            return settings_compatibility.restrict_without_lease(combined)
        if self.canary.is_trying:
            return settings_compatibility.combine_settings(combined, self.canary_document.settings)
        return combined

    def refresh_if_due(self) -> None:
        """Refreshes if the lease has expired; called right before a decision and before a send.

        The clock is read here, not when the lease was granted. Without this, a process that was stopped for
        longer than its lease would continue under settings that are no longer in effect.
        """
        if self.loop.time() >= self.valid_until:
            self.refresh()

    def format_lines(self) -> list[str]:
        """Returns the metrics lines on versions, lease and canary."""
        latest = self.documents[max(self.documents)]
        left_s = self.valid_until - self.loop.time()
        held_versions = ",".join(map(str, sorted(self.documents)))
        return [
            f"settings.me:{self.proxy_number}",
            f"settings.in_effect:{self.agreement.effective_version}",
            f"settings.held:{held_versions}",
            f"settings.known:{self.agreement.highest_known}",
            f"settings.leased:{int(self.lease_status.leased)}",
            f"settings.lease_left_s:{left_s if self.lease_status.leased else 0.0:.2f}",
            f"settings.bound_s:{latest.supersession_bound_s:.2f}",
            f"settings.digest:{latest.digest}",
            *self._canary_lines(),
            *(
                f"settings.refused:{version} {reason}"
                for version, reason in sorted(self.refusal_reasons.items())
            ),
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
        """Stops the watch and the rounds."""
        self.watch.stop()
        if self.timer is not None:
            self.timer.cancel()


def initial_document(node: dict[str, Any]) -> SettingsDocument | None:
    """Returns the settings document in a node file, or None if it has none.

    Raises:
        ValueError: The document is invalid or of another fleet, or the node file lacks the gossip settings.
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

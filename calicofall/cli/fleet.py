"""The command groups `settings` (check, diff, steps, seal, try, publish, status) and `fleet` (status).

A canary is called a trial in documents, replies of proxies and options.

Invariants:
    - A document that is invalid, or that may not follow the version in force, is not published.
    - An error is reported as one line and an exit code of `ExitCode`.
"""

import sys
import time
from contextlib import suppress
from enum import IntEnum
from typing import Any

import click
import orjson

from calicofall.cli.management import CommandError, post_document, query_proxy
from calicofall.fleet import settings_compatibility, settings_document
from calicofall.fleet.canary import CanaryState
from calicofall.fleet.settings_document import SettingsDocument
from calicofall.fleet.settings_fields import Binding

CANARY_GRACE_S = 3.0  # time after a canary's duration in which proxies may still report its result
CANARY_POLL_S = 1.0  # maximum interval between polls of the proxies that try a document
CANARY_POLLS = 5  # minimum number of polls during a canary
SHOWN_CHARACTERS = 60  # maximum length at which a value of the settings is shown
SHOWN_PROXIES = 8  # maximum number of proxies shown that do not see a proxy
NO_STATE = ""  # state of a canary while the proxy has not reported one
UNFINISHED = (NO_STATE, CanaryState.TRYING)


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    DIFFERENT = 1
    INVALID = 2
    UNMEASURED = 3


def load_document(path: str, sealed_only: bool = True) -> SettingsDocument:
    """Reads a document from a file.

    Args:
        path: path of the file.
        sealed_only: whether the document's digest has to match.

    Raises:
        CommandError: if the file cannot be read, or the document is invalid.
    """
    try:
        with open(path, "rb") as file:
            text = file.read(settings_document.MAX_DOCUMENT_BYTES + 1)
        return settings_document.parse_document(text, sealed_only)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    except settings_document.InvalidDocument as error:
        raise CommandError(f"{path}: {error}") from error


def load_json(path: str) -> dict[str, Any]:
    """Reads the JSON of a document that was validated before."""
    with open(path, "rb") as file:
        data: dict[str, Any] = orjson.loads(file.read())
    return data


def load_successor(path: str, after: str | None) -> SettingsDocument:
    """Reads a document, and ends the command if it may not follow the one in the file `after`."""
    document = load_document(path)
    errors = settings_document.succession_errors(load_document(after), document) if after else []
    if errors:
        click.echo(f"{path}: {errors[0]}")
        sys.exit(ExitCode.DIFFERENT)
    return document


def show_published_first(source: str, document: SettingsDocument) -> None:
    """Prints that another document was published first."""
    click.echo(
        f"{source}: version {document.previous} is not the latest any more: another was published first"
    )


def shorten(value: object) -> str:
    """Returns a value as JSON, truncated if it is long."""
    text = orjson.dumps(value).decode()
    return text if len(text) <= SHOWN_CHARACTERS else text[: SHOWN_CHARACTERS - 3] + "..."


# Documents


@click.group()
def settings() -> None:
    """Check, try and publish versioned settings documents."""


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--after",
    type=click.Path(dir_okay=False),
    help="File of the version in force, which the document is to follow.",
)
def check(file: str, after: str | None) -> None:
    """Validate a document, and whether it may follow another. Exit: 0 valid, 1 may not follow, 2 invalid."""
    document = load_document(file)
    errors = settings_document.succession_errors(load_document(after), document) if after else []
    for error in errors:
        click.echo(f"{file}: {error}")
    if errors:
        sys.exit(ExitCode.DIFFERENT)
    # D is the longest time for which a proxy acts on this version alone once a majority holds a newer one.
    click.echo(
        f"{file}: version {document.version} of {document.fleet}, {len(document.members)} members, "
        f"{len(document.voters)} keepers, D {document.supersession_bound_s:.2f} s, digest {document.digest}"
    )


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
def seal(file: str) -> None:
    """Write a document with its digest to standard output."""
    load_document(file, sealed_only=False)
    sealed = settings_document.seal_document(load_json(file))
    click.echo(orjson.dumps(sealed, option=orjson.OPT_INDENT_2).decode())


@settings.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
def diff(old: str, new: str) -> None:
    """Show changes and how they bind. Exit: 0 none binds or takes a restart, 1 some do, 2 invalid."""
    changes = settings_compatibility.changes(load_document(old).settings, load_document(new).settings)
    for change in changes:
        field = change.field
        kind = "binding" if field.binds else field.binding
        explanation = f" ({field.explanation})" if field.explanation else ""
        click.echo(f"{kind:8} {change.path}: {shorten(change.old)} -> {shorten(change.new)}{explanation}")
    differ = any(change.field.binding is not Binding.NOT_BINDING for change in changes)
    sys.exit(ExitCode.DIFFERENT if differ else ExitCode.OK)


@settings.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
def steps(old: str, new: str) -> None:
    """Print the versions to publish in succession to break no promise, one sealed document per line."""
    first = load_document(old)
    last = load_document(new)
    step_settings = settings_compatibility.publication_steps(first.settings, last.settings)
    for version, step in enumerate(step_settings, first.version + 1):
        data = last.to_json() | {"version": version, "after": version - 1, "settings": step}
        click.echo(orjson.dumps(settings_document.seal_document(data)).decode())


# Canaries


class CanaryRun:
    """Proxies that try a document, and the states that they reported."""

    def __init__(self, document: SettingsDocument, addresses: tuple[str, ...]) -> None:
        self.document = document
        self.addresses = addresses
        self.states: dict[str, str] = dict.fromkeys(addresses, NO_STATE)

    def wait(self, duration: float) -> None:
        """Polls the proxies until all have finished, one fails, or duration (s) and grace time are over."""
        ends_at = time.monotonic() + duration + CANARY_GRACE_S
        while time.monotonic() < ends_at and any(state in UNFINISHED for state in self.states.values()):
            time.sleep(min(CANARY_POLL_S, duration / CANARY_POLLS))
            for address in self.addresses:
                if self.states[address] in UNFINISHED:
                    self._poll(address)
            if CanaryState.FAILING in self.states.values():
                break

    def finish(self) -> ExitCode:
        """Prints the proxies that have not finished, and returns `OK` if all report success."""
        for address, state in self.states.items():
            if state in UNFINISHED:
                click.echo(f"{address}: version {self.document.version}: no result yet")
        states = set(self.states.values())
        if CanaryState.FAILING in states:
            return ExitCode.DIFFERENT
        return ExitCode.OK if states == {CanaryState.WELL} else ExitCode.UNMEASURED

    def _poll(self, address: str) -> None:
        try:
            figures = query_proxy(address, "versions")
        except CommandError:  # the document that it tries may have ended the process
            # Both texts below have the form "VERSION STATE why=REASON" of a proxy's reply.
            unreachable = f"{self.document.version} {CanaryState.FAILING} why=it does not answer"
            figures = {"settings.trial": unreachable}
        refused = figures.get("settings.refused", "").replace(" ", " refused why=", 1)
        for text in (figures.get("settings.trial", ""), refused):
            version, _, rest = text.partition(" ")
            if version == str(self.document.version):
                self.states[address] = rest.partition(" ")[0]
                if self.states[address] != CanaryState.TRYING:
                    click.echo(f"{address}: version {version}: {rest}")


def run_canary(
    document: SettingsDocument, source: str, addresses: tuple[str, ...], duration: float, increase: float
) -> ExitCode:
    """Runs a canary of a document at the proxies with these addresses; returns `OK` if all report success.

    A proxy whose canary is still running when this function returns ends it by itself.

    Args:
        document: the document to try.
        source: the address that serves the settings.
        addresses: management addresses of the proxies.
        duration: duration of the canary (s).
        increase: tolerated increase of the fraction of requests that are not completed.
    """
    proxy_numbers = {address: int(query_proxy(address, "versions")["settings.me"]) for address in addresses}
    canary_plan = {"members": sorted(proxy_numbers.values()), "s": duration, "worse": increase}
    data = settings_document.seal_document(document.to_json() | {"trial": canary_plan})
    if not post_document(source, "/api/settings/trial", data):
        show_published_first(source, document)
        return ExitCode.DIFFERENT
    canary_run = CanaryRun(document, addresses)
    canary_run.wait(duration)
    return canary_run.finish()


after_option = click.option(
    "--after",
    type=click.Path(dir_okay=False),
    help="File of the version in force, which the document is to follow.",
)
source_option = click.option("--source", required=True, help="Address that serves the settings.")
duration_option = click.option(
    "--for", "span", type=click.FloatRange(1.0, 3600.0), default=10.0, help="Duration of a trial (s)."
)
increase_option = click.option(
    "--worse",
    type=click.FloatRange(0.001, 1.0),
    default=0.05,
    help="Tolerated increase of the fraction of requests that are not completed.",
)


@settings.command(
    name="try",
    help="Try a document, published or not, at the proxies with these management addresses. "
    "Exit: 0 all succeed, 1 one is failing, or it may not follow, 2 invalid, 3 too few requests.",
)
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("addresses", nargs=-1, required=True)
@source_option
@after_option
@duration_option
@increase_option
def try_document(
    file: str, addresses: tuple[str, ...], source: str, after: str | None, span: float, worse: float
) -> None:
    """Tries a document at some proxies."""
    sys.exit(run_canary(load_successor(file, after), source, addresses, span, worse))


@settings.command(
    help="Publish a document. Exit: 0 published, 1 another was published first, it may not follow, or a "
    "trial failed, 2 invalid, 3 a trial had too few requests."
)
@click.argument("file", type=click.Path(dir_okay=False))
@source_option
@after_option
@click.option("--try", "trials", multiple=True, help="Management address of a proxy that tries it first.")
@duration_option
@increase_option
def publish(
    file: str, source: str, after: str | None, trials: tuple[str, ...], span: float, worse: float
) -> None:
    """Publishes a document, after a canary if proxies are given for it."""
    document = load_successor(file, after)
    if trials:
        code = run_canary(document, source, trials, span, worse)
        if code != ExitCode.OK:
            click.echo(f"{file}: halted: version {document.version} is not published")
            sys.exit(code)
    if not post_document(source, "/api/settings", load_json(file)):
        show_published_first(source, document)
        sys.exit(ExitCode.DIFFERENT)
    click.echo(f"{source}: version {document.version} published")


# Status of proxies


@settings.command()
@click.argument("addresses", nargs=-1, required=True)
def status(addresses: tuple[str, ...]) -> None:
    """Show the versions in effect at proxies, by management address. Exit: 0 all equal, 1 not, 2 no reply."""
    states = set()
    for address in addresses:
        figures = {
            name.removeprefix("settings."): value for name, value in query_proxy(address, "versions").items()
        }
        states.add((figures["held"], figures["leased"], figures["digest"]))
        click.echo(
            f"{address}: in effect {figures['in_effect']}, held {figures['held']}, leased "
            f"{figures['leased']} ({figures['lease_left_s']} s), D {figures['bound_s']} s"
        )
    # `leased` is 1 if the proxy has a lease.
    agreed = len(states) == 1 and all(leased == "1" for _, leased, _ in states)
    sys.exit(ExitCode.OK if agreed else ExitCode.DIFFERENT)


@click.group()
def fleet() -> None:
    """Show the fleet as seen by its proxies."""


@fleet.command(
    name="status",
    help="Show membership, shares of limits and decisions on caches, from management addresses. "
    "Exit: 0 all proxies are present, 1 some are away, doubted or cut off, 2 no answer.",
)
@click.argument("addresses", nargs=-1, required=True)
def fleet_status(addresses: tuple[str, ...]) -> None:
    """Shows the membership, the shares of limits and the decisions on caches, as seen by proxies."""
    not_seen_by: dict[str, list[str]] = {}  # by proxy, the proxies that do not see it as present
    complete = True
    for address in addresses:
        figures = query_proxy(address, "members")
        complete = _show_membership(address, figures) and complete
        _show_limits_and_decisions(address)
        for name, value in figures.items():
            if name.startswith("member.") and not value.startswith("here"):
                member = name.removeprefix("member.")
                not_seen_by.setdefault(member, []).append(figures["members.me"])
    for member, proxies in sorted(not_seen_by.items(), key=lambda item: int(item[0])):
        shown = ",".join(proxies[:SHOWN_PROXIES])
        click.echo(f"proxy {member}: not there to {len(proxies)} of {len(addresses)}: {shown}")
    sys.exit(ExitCode.OK if complete else ExitCode.DIFFERENT)


def _show_membership(address: str, figures: dict[str, str]) -> bool:
    """Shows the number of peers in each state; returns whether the proxy is connected and sees all peers."""
    counts = {name: figures[f"members.{name}"] for name in ("here", "doubted", "away", "unmet")}
    isolated = figures["members.alone"] == "1"
    click.echo(
        f"{address}: proxy {figures['members.me']}, life {figures['members.life']}: "
        + ", ".join(f"{count} {name}" for name, count in counts.items())
        + (", cut off" if isolated else "")
    )
    return not isolated and counts["doubted"] == counts["away"] == "0"


def _show_limits_and_decisions(address: str) -> None:
    for kind in ("limit", "verdict"):
        with suppress(CommandError):  # proxies without quota leases or outlier reports reject the call
            for name, value in query_proxy(address, f"{kind}s").items():
                if name.startswith(f"{kind}."):
                    click.echo(f"  {name}: {value}")

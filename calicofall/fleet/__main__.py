"""The command line of settings documents: check, diff, steps, seal, publish, status.

Owns how documents are named on the command line, and exit codes. Must never publish what is wrong, or what
may not follow the version in force.
"""

import socket
import sys

import click
import orjson

from calicofall import words
from calicofall.fleet import document, fields

RIGHT, DIFFERENT, WRONG = 0, 1, 2  # exit codes


class Stop(click.ClickException):
    exit_code = WRONG


def load(path: str, sealed: bool = True) -> document.Document:
    try:
        with open(path, "rb") as file:
            return document.read(file.read(document.LARGEST + 1), sealed)
    except OSError as reason:
        raise Stop(f"{path}: {reason.strerror}") from None
    except document.Wrong as reason:
        raise Stop(f"{path}: {reason}") from None


@click.group()
def settings() -> None:
    """Settings documents with versions."""


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--after", type=click.Path(dir_okay=False), help="The version in force, which it is to follow.")
def check(file: str, after: str | None) -> None:
    """Whether a document is right, and may follow another. Exit: 0 right, 1 may not follow, 2 wrong."""
    one = load(file)
    reasons = document.follows(load(after), one) if after else []
    for reason in reasons:
        click.echo(f"{file}: {reason}")
    if reasons:
        sys.exit(DIFFERENT)
    click.echo(f"{file}: version {one.version} of {one.fleet}, {len(one.members)} members, "
               f"{len(one.keepers)} keepers, D {one.bound:.2f} s, digest {one.digest}")


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
def seal(file: str) -> None:
    """Writes a document with its digest to standard output."""
    load(file, sealed=False)
    with open(file, "rb") as data:
        sealed = document.sealed(orjson.loads(data.read()))
    click.echo(orjson.dumps(sealed, option=orjson.OPT_INDENT_2).decode())


@settings.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
def diff(old: str, new: str) -> None:
    """What differs, and how it binds. Exit: 0 nothing that binds, 1 something does, 2 a wrong document."""
    found = fields.changes(load(old).settings, load(new).settings)
    for path, field, before, after in found:
        kind = field.how if field.how in ("loose", "fixed") else "binding"
        says = f" ({field.says})" if field.says else ""
        click.echo(f"{kind:8} {path}: {shown(before)} -> {shown(after)}{says}")
    sys.exit(DIFFERENT if any(field.how != "loose" for _, field, _, _ in found) else RIGHT)


def shown(value: object) -> str:
    text = orjson.dumps(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."


@settings.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
def steps(old: str, new: str) -> None:
    """The versions to publish one after the other, one document a line, each sealed."""
    first, last = load(old), load(new)
    version = first.version
    for one in fields.steps(first.settings, last.settings):
        data = {"version": version + 1, "after": version, "note": last.note, "fleet": last.fleet,
                "members": list(last.members), "keepers": list(last.keepers),
                "lease": {"s": last.lease, "drift": last.drift, "pauseS": last.pause}, "settings": one}
        version += 1
        click.echo(orjson.dumps(document.sealed(data)).decode())


def call(address: str, data: bytes) -> bytes:
    """One question to an address, and all that comes back."""
    try:
        with socket.create_connection(words.place(address), timeout=5.0) as plug:
            plug.sendall(data)
            answer = b""
            while part := plug.recv(65_536):
                answer += part
            return answer
    except ValueError as reason:
        raise Stop(str(reason)) from None
    except OSError as reason:
        raise Stop(f"{address}: {reason.strerror or reason}") from None


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--source", required=True, help="The address that serves the settings.")
@click.option("--after", type=click.Path(dir_okay=False), help="The version in force, which it is to follow.")
def publish(file: str, source: str, after: str | None) -> None:
    """Publishes a document. Exit: 0 taken, 1 another was published first or it may not follow, 2 wrong."""
    one = load(file)
    for reason in (document.follows(load(after), one) if after else []):
        click.echo(f"{file}: {reason}")
        sys.exit(DIFFERENT)
    with open(file, "rb") as data:
        body = orjson.dumps(orjson.loads(data.read()))
    answer = call(source, b"POST /api/settings HTTP/1.1\r\nHost: %b\r\nContent-Type: application/json\r\n"
                  b"Connection: close\r\nContent-Length: %d\r\n\r\n%b" % (source.encode(), len(body), body))
    status = answer.split(b" ")[1:2]
    if status == [b"409"]:
        click.echo(f"{source}: version {one.after} is not the latest any more: another was published first")
        sys.exit(DIFFERENT)
    if status not in ([b"200"], [b"201"], [b"204"]):
        raise Stop(f"{source}: answered {answer[:60].decode(errors='replace')!r}")
    click.echo(f"{source}: version {one.version} published")


@settings.command()
@click.argument("addresses", nargs=-1, required=True)
def status(addresses: tuple[str, ...]) -> None:
    """What proxies act on, by their management addresses. Exit: 0 all on one version, 1 not, 2 no answer."""
    seen = set()
    for address in addresses:
        lines = call(address, b"versions\n").decode(errors="replace").splitlines()
        figures = dict(line.removeprefix("settings.").partition(":")[::2] for line in lines[1:-1])
        if not lines or not lines[0].startswith("+OK") or "held" not in figures:
            raise Stop(f"{address}: {lines[0] if lines else 'nothing'}: no versions there")
        seen.add((figures["held"], figures["leased"], figures["digest"]))
        click.echo(f"{address}: in effect {figures['in_effect']}, held {figures['held']}, leased "
                   f"{figures['leased']} ({figures['lease_left_s']} s), D {figures['bound_s']} s")
    sys.exit(RIGHT if len(seen) == 1 and all(leased == "1" for _, leased, _ in seen) else DIFFERENT)

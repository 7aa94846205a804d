"""The command line of settings documents: check, diff, steps, seal.

Owns how documents are named on the command line, and exit codes. Must never publish anything.
"""

import sys

import click
import orjson

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

"""The command line: serve, check a configuration, version.

Owns how a start's configuration is found and read. Must never start a proxy on one that is wrong: that is one
line and a non-zero exit.
"""

import signal

if __name__ == "__main__":
    # Guards against a start that SIGHUP or SIGTERM ends on its way: the proxy lets them through once it has
    # an answer to them; other commands do at once.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})

import asyncio
import os
import sys
from importlib import import_module
from typing import Any

import click
import orjson

from calicofall import __version__, words
from calicofall.recording import reel

TOLD = ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_MGMT")


def configuration(path: str | None, again: bool = False) -> dict[str, Any]:
    """What PROXY_CONFIG's file says, with PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_MGMT before it.

    Read again, the file goes before them: they tell what held at the start.
    """
    path = path or os.environ.get("PROXY_CONFIG")
    if not path:
        raise click.ClickException("PROXY_CONFIG is missing: the configuration's path")
    try:
        with open(path, "rb") as file:
            node = orjson.loads(file.read())
        if not isinstance(node, dict):
            raise ValueError("not an object")
        told = {name[6:].lower(): os.environ[name] for name in TOLD if os.environ.get(name)}
        node = told | node if again else node | told
        for name in ("name", "listen", "discovery", "seed", "settings"):
            if not node.get(name):
                raise ValueError(f"{name} is missing")
        words.place(node["listen"])
        words.place(node["discovery"])
        if node.get("mgmt"):
            words.check_mgmt(node["mgmt"], node["listen"])
        words.seed(node["seed"])
        if node.get("known"):
            words.listing(node["known"])
        words.check(node["settings"])
        words.starts(node)
        reel.told(node)
        if node.get("document") is not None:
            from calicofall.net import versions

            versions.first(node)
        deployment = words.deployment(node["settings"])
        for method in deployment["methods"]:
            for part in ("name", "repeats", "window", "soft_deadline", "hard_deadline"):
                method[part]
        deployment["rules"], deployment["caps"]
        if words.sockets(node) < 64:
            raise ValueError("limits.sockets is under 64")
        if words.memory(node) < 32:
            raise ValueError("limits.memory_mb is under 32")
    except OSError as reason:
        raise click.ClickException(f"{path}: {reason.strerror}") from None
    except (ValueError, TypeError, KeyError, AttributeError) as reason:
        told = f"{reason.args[0]} is missing" if isinstance(reason, KeyError) else str(reason)
        raise click.ClickException(f"{path}: {told}") from None
    return node


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def main(context: click.Context) -> None:
    """A router for fleets of cache servers. Without a command it serves."""
    if context.invoked_subcommand not in (None, "serve"):
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM})
    if context.invoked_subcommand is None:
        context.invoke(serve)


where = click.option("--config", type=click.Path(dir_okay=False), help="Instead of $PROXY_CONFIG.")


@main.command()
@where
@click.option("--log-level", type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]), default="INFO")
def serve(config: str | None = None, log_level: str = "INFO") -> None:
    """Run one proxy until SIGTERM."""
    node = configuration(config)
    from calicofall.net import logs
    from calicofall.net.proxy import Proxy

    logs.start(log_level)

    async def run() -> None:
        await Proxy(node, asyncio.get_running_loop()).serve(lambda: configuration(config, again=True))

    try:
        asyncio.run(run())
    except OSError as reason:
        raise click.ClickException(str(reason)) from None


@main.command()
@where
def check(config: str | None) -> None:
    """Read a configuration and say what is wrong with it."""
    node = configuration(config)
    methods = [method["name"] for method in node["settings"]["methods"]]
    known = (node.get("known") or {}).get("endpoints") or []
    for line in words.on_sockets(node["settings"])[1]:
        click.echo(line)
    click.echo(f"{node['name']}: {len(methods)} methods, {len(known)} caches known")


class Apart(click.Group):
    """Commands of a part that are read only when asked for: a proxy that serves loads none of it."""

    def __init__(self, part: str, name: str, says: str) -> None:
        super().__init__(name, help=says)
        self.part = part

    def group(self) -> click.Group:
        return getattr(import_module(f"calicofall.{self.part}.__main__"), self.name)

    def list_commands(self, context: click.Context) -> list[str]:
        return self.group().list_commands(context)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        return self.group().get_command(context, name)


main.add_command(Apart("stage", "stage", "Many processes with faults between them, and a referee."))
main.add_command(Apart("recording", "record", "Records of proxies: played again, looked through."))
main.add_command(Apart("fleet", "settings", "Settings documents with versions."))
main.add_command(Apart("fleet", "fleet", "The fleet as its proxies see each other."))


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("told", nargs=-1, type=click.UNPROCESSED)
def replay(told: tuple[str, ...]) -> None:
    """Play records again, and hold each verdict against the recorded one."""
    import_module("calicofall.recording.__main__").replay.main([*told], prog_name="calicofall replay")


@main.command()
def version() -> None:
    """Say which version this is."""
    click.echo(__version__)


if __name__ == "__main__":
    sys.exit(main(prog_name="calicofall"))

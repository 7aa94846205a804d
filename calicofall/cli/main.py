"""The command line: `serve`, `check`, `version`, `replay`, and the command groups of the other modules.

A start with an invalid configuration prints one line and ends with a non-zero exit code.
"""

import asyncio
import signal
from importlib import import_module
from typing import Any

import click

from calicofall import __version__
from calicofall.config.errors import ConfigurationError
from calicofall.config.node_file import load_node_file
from calicofall.config.settings import settings_on_sockets


def configuration(path: str | None, again: bool = False) -> dict[str, Any]:
    """Loads the configuration of a proxy; see `load_node_file`.

    Raises:
        click.ClickException: No file is given, it cannot be read, or its content is invalid.
    """
    try:
        return load_node_file(path, again)
    except ConfigurationError as error:
        raise click.ClickException(str(error)) from error


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def main(context: click.Context) -> None:
    """A router for fleets of cache servers. Without a command it runs `serve`."""
    if context.invoked_subcommand not in (None, "serve"):
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM})
    if context.invoked_subcommand is None:
        context.invoke(serve)


config_option = click.option(
    "--config", type=click.Path(dir_okay=False), help="Configuration file; the default is $PROXY_CONFIG."
)


@main.command()
@config_option
@click.option("--log-level", type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]), default="INFO")
def serve(config: str | None = None, log_level: str = "INFO") -> None:
    """Run one proxy until SIGTERM."""
    node = configuration(config)
    from calicofall.proxy import logs
    from calicofall.proxy.server import Proxy

    logs.configure_logging(log_level)

    async def run() -> None:
        proxy = Proxy(node, asyncio.get_running_loop())
        proxy.process_memory.require_room()
        await proxy.serve(lambda: configuration(config, again=True))

    try:
        asyncio.run(run())
    except OSError as error:
        raise click.ClickException(str(error)) from error


@main.command()
@config_option
def check(config: str | None) -> None:
    """Validate a configuration and print what is wrong with it."""
    node = configuration(config)
    methods = node["settings"]["methods"]
    known = (node.get("known") or {}).get("endpoints") or []
    for line in settings_on_sockets(node["settings"])[1]:
        click.echo(line)
    click.echo(f"{node['name']}: {len(methods)} methods, {len(known)} caches known")


class LazyGroup(click.Group):
    """A command group whose module is imported only when it is used, so that `serve` does not load it.

    Args:
        module: The module of `calicofall.cli` that defines the group as an attribute with the group's name.
        name: The name of the group.
        help_text: Description in the output of `--help`.
        hidden: Whether the output of `--help` omits the group.
    """

    def __init__(self, module: str, name: str, help_text: str, hidden: bool = False) -> None:
        super().__init__(name, help=help_text, hidden=hidden)
        self._module = module
        self._group_name = name

    def _load(self) -> click.Group:
        group: click.Group = getattr(import_module(f"calicofall.cli.{self._module}"), self._group_name)
        return group

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of the group's commands."""
        return self._load().list_commands(context)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Returns a command of the group; None if there is no command of that name."""
        return self._load().get_command(context, name)


STAGE_HELP = "Run scenarios with many processes and injected faults, and check the results."
main.add_command(LazyGroup("testbed", "stage", STAGE_HELP))
main.add_command(LazyGroup("testbed", "stage", STAGE_HELP, hidden=True), name="testbed")
main.add_command(LazyGroup("record", "record", "Replay and query the records of proxies."))
main.add_command(LazyGroup("fleet", "settings", "Check, try and publish versioned settings documents."))
main.add_command(LazyGroup("fleet", "fleet", "Show the fleet as seen by its proxies."))


@main.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def replay(arguments: tuple[str, ...]) -> None:
    """Replay records and compare each decision with the recorded one."""
    import_module("calicofall.cli.record").replay.main([*arguments], prog_name="calicofall replay")


@main.command()
def version() -> None:
    """Print the version of the program."""
    click.echo(__version__)

"""Command line of the stand-ins: `python -m standins keyvalue|engine|service|vms`."""

import abc
import collections.abc
import sys
import typing

import attrs
import cleo.application
import cleo.commands.command
import cleo.helpers
import trio

from standins import engine, keyvalue, service, serving, vms


def value_option(name: str, default: typing.Any, *, multiple: bool = False) -> typing.Any:
    """Return an option with a value."""
    text = None if multiple or default is None else str(default)
    return cleo.helpers.option(name, None, name, flag=False, default=text, multiple=multiple)


def settings_options(settings: type) -> list[typing.Any]:
    """Return an option for each field of a settings class but the VM's name."""
    options = []
    for field in attrs.fields(settings)[1:]:
        name = field.name.replace("_", "-")
        if field.type is bool:
            options.append(cleo.helpers.option(name, None, name, flag=True))
        else:
            options.append(value_option(name, field.default))
    return options


async def serve_all(apps: collections.abc.Mapping[str, serving.App]) -> None:
    """Serve apps by address until the process is ended; say so when all are bound."""
    async with trio.open_nursery() as nursery:
        for address, app in apps.items():
            bound = await nursery.start(serving.serve, app, address)
            print(f"serving on {bound}", flush=True)


class Command(cleo.commands.command.Command, abc.ABC):
    """Base of the commands: makes the apps and serves them."""

    @abc.abstractmethod
    def apps(self) -> dict[str, serving.App]:
        """Return the apps by address."""

    def handle(self) -> int:
        """Serve until the process is ended."""
        try:
            trio.run(serve_all, self.apps())
        except KeyboardInterrupt:
            pass
        return 0


class KeyValueCommand(Command):
    """The etcd stand-in."""

    name = "keyvalue"
    description = "Serve the key-value store."
    options = [value_option("address", "127.0.0.1:2379"), value_option("history-revisions", 10_000)]

    def apps(self) -> dict[str, serving.App]:
        """Return the one app."""
        store = keyvalue.Store(int(self.option("history-revisions")))
        return {self.option("address"): keyvalue.App(store)}


class VmsCommand(Command):
    """The platform's list of VMs."""

    name = "vms"
    description = "Serve the platform's lagging list of VMs."
    options = [value_option("address", "127.0.0.1:2380"), value_option("lag-s", 0.0)]

    def apps(self) -> dict[str, serving.App]:
        """Return the one app."""
        return {self.option("address"): vms.App(float(self.option("lag-s")))}


class ServersCommand(Command):
    """Base of the commands for servers on VMs."""

    settings: type
    one = (
        value_option("vm", "vm-1"),
        value_option("address", None),
        value_option("server", None, multiple=True),
    )

    @abc.abstractmethod
    def app(self, settings: typing.Any) -> serving.App:
        """Return the app of one server."""

    def apps(self) -> dict[str, serving.App]:
        """Return an app for each `--server VM=ADDRESS`, and for `--vm` at `--address`."""
        values = {}
        for field in attrs.fields(self.settings)[1:]:
            values[field.name] = field.type(self.option(field.name.replace("_", "-")))
        servers = [server.partition("=")[::2] for server in self.option("server")]
        if self.option("address"):
            servers.append((self.option("vm"), self.option("address")))
        return {address: self.app(self.settings(vm=vm, **values)) for vm, address in servers}


class EngineCommand(ServersCommand):
    """Model engines."""

    name = "engine"
    description = "Serve model engines."
    settings = engine.Settings
    options = [*ServersCommand.one, *settings_options(engine.Settings)]

    def app(self, settings: engine.Settings) -> serving.App:
        """Return an engine's app."""
        return engine.App(engine.Engine(settings))


class ServiceCommand(ServersCommand):
    """Plain services."""

    name = "service"
    description = "Serve plain services."
    settings = service.Settings
    options = [*ServersCommand.one, *settings_options(service.Settings)]

    def app(self, settings: service.Settings) -> serving.App:
        """Return a service's app."""
        return service.App(settings)


def main() -> int:
    """Run the command line."""
    application = cleo.application.Application("standins")
    for command in (KeyValueCommand, EngineCommand, ServiceCommand, VmsCommand):
        application.add(command())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())

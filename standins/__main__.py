"""Command line of the stand-ins: ``python -m standins keyvalue|engine|service|vms``."""

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


def new_value_option(name: str, default: typing.Any, *, multiple: bool = False) -> typing.Any:
    """Return a command-line option that takes a value."""
    default_text = None if multiple or default is None else str(default)
    return cleo.helpers.option(
        name, None, name, flag=False, default=default_text, multiple=multiple
    )


def new_settings_options(settings: type) -> list[typing.Any]:
    """Return a command-line option for each field of a settings class except ``vm``, the first."""
    options = []
    for field in attrs.fields(settings)[1:]:
        name = field.name.replace("_", "-")
        if field.type is bool:
            options.append(cleo.helpers.option(name, None, name, flag=True))
        else:
            options.append(new_value_option(name, field.default))
    return options


async def serve_all(apps: collections.abc.Mapping[str, serving.App]) -> None:
    """Serve applications, given by address, until cancelled.

    Prints the bound address of each application once it listens.
    """
    async with trio.open_nursery() as nursery:
        for address, app in apps.items():
            bound = await nursery.start(serving.serve, app, address)
            print(f"serving on {bound}", flush=True)


class ServeCommand(cleo.commands.command.Command, abc.ABC):
    """Base class of commands that serve applications."""

    @abc.abstractmethod
    def apps(self) -> dict[str, serving.App]:
        """Return the applications by address."""

    def handle(self) -> int:
        """Serve until interrupted."""
        try:
            trio.run(serve_all, self.apps())
        except KeyboardInterrupt:
            pass
        return 0


class KeyValueCommand(ServeCommand):
    """Serves the etcd stand-in."""

    name = "keyvalue"
    description = "Serve the key-value store."
    options = [
        new_value_option("address", "127.0.0.1:2379"),
        new_value_option("history-revisions", 10_000),
    ]

    def apps(self) -> dict[str, serving.App]:
        """Return the application by its address."""
        store = keyvalue.Store(int(self.option("history-revisions")))
        return {self.option("address"): keyvalue.App(store)}


class VmListCommand(ServeCommand):
    """Serves the platform's list of VMs."""

    name = "vms"
    description = "Serve the platform's lagging list of VMs."
    options = [new_value_option("address", "127.0.0.1:2380"), new_value_option("lag-s", 0.0)]

    def apps(self) -> dict[str, serving.App]:
        """Return the application by its address."""
        return {self.option("address"): vms.App(float(self.option("lag-s")))}


class BackendServersCommand(ServeCommand):
    """Base class of commands that serve backend servers on VMs.

    :cvar settings: settings class of one server
    :cvar server_options: options that say which servers to run
    """

    settings: type
    server_options = (
        new_value_option("vm", "vm-1"),
        new_value_option("address", None),
        new_value_option("server", None, multiple=True),
    )

    @abc.abstractmethod
    def app(self, settings: typing.Any) -> serving.App:
        """Return the application of one server."""

    def apps(self) -> dict[str, serving.App]:
        """Return an application for each ``--server``, and for ``--vm`` at ``--address``."""
        values = {}
        for field in attrs.fields(self.settings)[1:]:
            values[field.name] = field.type(self.option(field.name.replace("_", "-")))
        servers = [server.partition("=")[::2] for server in self.option("server")]
        if self.option("address"):
            servers.append((self.option("vm"), self.option("address")))
        return {address: self.app(self.settings(vm=vm, **values)) for vm, address in servers}


class EngineCommand(BackendServersCommand):
    """Serves model engines."""

    name = "engine"
    description = "Serve model engines."
    settings = engine.Settings
    options = [*BackendServersCommand.server_options, *new_settings_options(engine.Settings)]

    def app(self, settings: engine.Settings) -> serving.App:
        """Return the application of an engine."""
        return engine.App(engine.Engine(settings))


class ServiceCommand(BackendServersCommand):
    """Serves plain services."""

    name = "service"
    description = "Serve plain services."
    settings = service.Settings
    options = [*BackendServersCommand.server_options, *new_settings_options(service.Settings)]

    def app(self, settings: service.Settings) -> serving.App:
        """Return the application of a service."""
        return service.App(settings)


def main() -> int:
    """Run the command line."""
    application = cleo.application.Application("standins")
    for command in (KeyValueCommand, EngineCommand, ServiceCommand, VmListCommand):
        application.add(command())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())

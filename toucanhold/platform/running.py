"""Runs an entry on the users' platform until it stops."""

from __future__ import annotations

import collections.abc
import functools

import trio

from toucanhold import environment, exitstatus, logs
from toucanhold.platform import entry, settings


def run(env: environment.Environment) -> exitstatus.ExitStatus:
    """Validate the settings file and run the entry.

    :param env: names the settings file; its output receives the log
    """
    try:
        platform_settings = settings.load(env.variables)
    except settings.SettingsError as error:
        print(f"invalid settings: {error}", file=env.stderr)
        return exitstatus.ExitStatus.USAGE
    handler = logs.set_up_bounded(env.stdout, "info")
    try:
        trio.run(_run, platform_settings, env.variables)
    finally:
        handler.close()
    return exitstatus.ExitStatus.OK


async def _run(
    platform_settings: settings.PlatformSettings, variables: collections.abc.Mapping[str, str]
) -> None:
    await entry.PlatformEntry(platform_settings, functools.partial(settings.load, variables)).run()

"""Runs endless servers as a process: ``PLACE fast|slow STATISTICS_PORT PORT[=VM]...``."""

import functools
import json
import sys

import trio

from tests.platform import endless


async def main(place, speed, statistics_port, *ports):
    """Serve until killed; a connection to the statistics port gets what was sent so far."""
    servers = {}
    for port in ports:
        number, _, vm = port.partition("=")
        servers[int(number)] = endless.EndlessServer(place, speed == "fast", vm=vm)

    async def send_statistics(stream):
        counts = {
            "durations_s": sum((each.durations_s for each in servers.values()), []),
            "sent_bytes": sum((each.sent_bytes for each in servers.values()), []),
        }
        await stream.send_all(json.dumps(counts).encode())
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        for port, server in servers.items():
            nursery.start_soon(
                functools.partial(
                    trio.serve_tcp, server.handle, port, host="127.0.0.1", backlog=512
                )
            )
        nursery.start_soon(
            functools.partial(
                trio.serve_tcp, send_statistics, int(statistics_port), host="127.0.0.1"
            )
        )


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])

"""An entry of the users' platform before one backend server."""

import contextlib

import attrs
import trio

from standins import gateways
from tests.platform import standins
from toucanhold import metrics
from toucanhold.platform import front, servers

TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def running(server_address):
    """Run an entry; yield the gateway fixture and the entry's address."""
    registered = attrs.evolve(gateways.new_servers(1)["b0"], address=server_address)
    scene = gateways.GatewayFixture({"b0": registered})
    scene.gateway.server_client = servers.PlatformServerClient(scene.server_client.observer)
    app = front.FrontApp(scene.gateway, metrics.Metrics("e"))
    async with scene.running(), standins.serve_app(app) as entry:
        with trio.fail_after(TIMEOUT_S):
            yield scene, entry

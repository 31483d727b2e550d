"""An entry of the users' platform before one backend server."""

import contextlib

import attrs
import trio

from standins import gateways
from tests.platform import standins
from toucanhold import metrics
from toucanhold.platform import front, servers

ROUTE_TIMEOUT_S = 20.0
ROUTES = [
    attrs.evolve(route, timeout_s=ROUTE_TIMEOUT_S)
    for route in (gateways.LOOKUPS, gateways.ORDERS, gateways.STREAMS)
]
TEST_TIMEOUT_S = 60.0


@contextlib.asynccontextmanager
async def running(server_address, body_limit_bytes=1000):
    """Run an entry; yield the gateway fixture and the entry's address."""
    registered = attrs.evolve(gateways.new_servers(1)["b0"], address=server_address)
    scene = gateways.GatewayFixture({"b0": registered})
    scene.gateway.server_client = servers.PlatformServerClient(scene.server_client.observer)
    routes = scene.new_table(2, *ROUTES)
    limits = attrs.evolve(routes.limits, body_bytes=body_limit_bytes)
    scene.routes.put(attrs.evolve(routes, limits=limits))
    app = front.FrontApp(scene.gateway, metrics.Metrics("e"))
    async with scene.running(), standins.serve_app(app) as entry:
        with trio.fail_after(TEST_TIMEOUT_S):
            yield scene, entry

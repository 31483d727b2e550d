"""Orders servers to load models ahead of need, within the limits of the weight store."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events, supervision
from toucanhold.coordination import mirror
from toucanhold.registry import registry, servers
from toucanhold.replicas import composition, ordering, orders
from toucanhold.routes import table

# Interval at which the order to preload a model is repeated to a spare.
PRELOAD_RETRY_S = 2.0
SPARE_PREFIX = "spare-"
# A host that has not staged a model within this time is ordered again. It covers the longest load
# while several run concurrently.
STAGE_RETRY_S = 30.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Preloader:
    """Sends orders to load models to spares and hosts, each at most once per retry interval."""

    kv_mirror: mirror.Mirror
    server_registry: registry.Registry
    order_sender: ordering.OrderSender
    _last_preload_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _last_stage_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    def order_preloads(
        self,
        service: table.Service,
        preloads: list[composition.Preload],
        is_start: bool,
        nursery: trio.Nursery,
    ) -> None:
        """Order spares to load models into memory.

        :param is_start: whether no group has ever existed; loads are then not limited
        """
        assert service.engine is not None
        now_s = trio.current_time()
        loading_count = self._loading_count(service)
        for preload in preloads:
            incarnation = preload.server.incarnation
            if loading_count >= service.engine.max_concurrent_loads and not is_start:
                return
            if now_s - self._last_preload_s.get(incarnation, float("-inf")) < PRELOAD_RETRY_S:
                continue
            loading_count += 1
            self._last_preload_s[incarnation] = now_s
            events.log(
                LOGGER,
                events.Event.SPARE_PREPARED,
                server=preload.server.server_id,
                model=preload.model,
            )
            nursery.start_soon(supervision.run, self._order_preload, preload)

    def order_spare_stagings(
        self, service: table.Service, stagings: list[composition.Preload], nursery: trio.Nursery
    ) -> None:
        """Order the hosts of spares to load second models."""
        assert service.engine is not None
        now_s = trio.current_time()
        loading_count = self._loading_count(service)
        for staging in stagings:
            incarnation = staging.server.incarnation
            if loading_count >= service.engine.max_concurrent_loads:
                return
            if now_s - self._last_stage_s.get(incarnation, float("-inf")) < STAGE_RETRY_S:
                continue
            loading_count += 1
            self._stage(staging.server, staging.model, nursery)

    def order_staging(
        self, service: table.Service, server: servers.Server, model: str, nursery: trio.Nursery
    ) -> None:
        """Order a host to load a model, unless that was ordered lately or many loads run."""
        assert service.engine is not None
        now_s = trio.current_time()
        if self._loading_count(service) >= service.engine.max_concurrent_loads:
            return
        if now_s - self._last_stage_s.get(server.incarnation, float("-inf")) >= STAGE_RETRY_S:
            self._stage(server, model, nursery)

    def _loading_count(self, service: table.Service) -> int:
        """Return the number of servers that are loading a model, or were ordered to recently."""
        assert service.engine is not None
        now_s = trio.current_time()
        load_s = max(model.load_s for model in service.engine.models)
        loading = {
            server.incarnation
            for server in self.server_registry.of_service(service.name)
            if is_loading(server)
        }
        for ordered, validity_s in (
            (self._last_stage_s, load_s),
            (self._last_preload_s, PRELOAD_RETRY_S),
        ):
            for incarnation, ordered_s in list(ordered.items()):
                if now_s - ordered_s > STAGE_RETRY_S:
                    del ordered[incarnation]
                elif now_s - ordered_s < validity_s:
                    loading.add(incarnation)
        return len(loading)

    def _stage(self, server: servers.Server, model: str, nursery: trio.Nursery) -> None:
        self._last_stage_s[server.incarnation] = trio.current_time()
        events.log(
            LOGGER,
            events.Event.STAGING_ORDERED,
            server=server.server_id,
            model=model,
            domain=server.domain,
        )
        nursery.start_soon(supervision.run, self._send_order, server, orders.Stage(model))

    async def _order_preload(self, preload: composition.Preload) -> None:
        server = preload.server
        # The spare joins a single-server group that is never opened, which loads the model into
        # memory. It can then join another group in 0.2 s, instead of seconds if the model were only
        # staged on its host.
        group = f"{SPARE_PREFIX}{server.server_id}"
        epoch = max(1, self.kv_mirror.revision)
        order = orders.Join(group, epoch, preload.model, (server.server_id,))
        await self._send_order(server, order)

    async def _send_order(self, server: servers.Server, order: orders.Order) -> None:
        try:
            await self.order_sender.send(server, order)
        except ordering.NotPlannerError:
            LOGGER.debug("%s: no longer the planner", server.server_id)


def is_loading(server: servers.Server) -> bool:
    """Return whether a spare is loading a model into memory."""
    membership = server.membership
    return (
        membership is not None
        and membership.group.startswith(SPARE_PREFIX)
        and membership.state is servers.GroupState.JOINING
    )

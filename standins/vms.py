"""Serves the platform's list of VMs, in which changes become visible with a delay."""

import typing

import trio

from standins import serving


class App(serving.App):
    """ASGI application of the VM list: PUT sets it, GET returns what was set ``lag_s`` ago.

    :ivar lag_s: delay until a new list is visible, seconds
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._lists: list[tuple[float, list[dict[str, typing.Any]]]] = []

    def set_list(self, vms: list[dict[str, typing.Any]]) -> None:
        """Set the list; the first list is visible at once."""
        visible_from_s = trio.current_time() + (self.lag_s if self._lists else 0.0)
        self._lists.append((visible_from_s, vms))

    def visible_list(self) -> list[dict[str, typing.Any]]:
        """Return the list that is visible now; empty before the first one is set."""
        now_s = trio.current_time()
        visible = [vms for visible_from_s, vms in self._lists if visible_from_s <= now_s]
        return visible[-1] if visible else []

    async def handle(self, exchange: serving.Exchange) -> None:
        """Handle one HTTP request."""
        if exchange.path != "/vms" or exchange.method not in ("GET", "PUT"):
            raise serving.not_found()
        if exchange.method == "PUT":
            vms = exchange.json().get("vms")
            if not isinstance(vms, list) or any(
                vm.get("state") not in ("live", "leaving") or "vm" not in vm for vm in vms
            ):
                raise serving.HttpError(
                    400, {"error": "vms: expected objects with vm and state (live or leaving)"}
                )
            self.set_list(vms)
        await exchange.respond(200, {"vms": self.visible_list()})

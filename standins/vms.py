"""The platform's list of VMs, which shows changes late."""

import typing

import trio

from standins import serving


class App(serving.App):
    """The list: PUT sets it, GET shows what was set at least `lag_s` ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._lists: list[tuple[float, list[dict[str, typing.Any]]]] = []

    def set(self, vms: list[dict[str, typing.Any]]) -> None:
        """Set the list; the first one shows at once."""
        shown_s = trio.current_time() + (self.lag_s if self._lists else 0.0)
        self._lists.append((shown_s, vms))

    def shown(self) -> list[dict[str, typing.Any]]:
        """Return the list as it shows now."""
        now_s = trio.current_time()
        past = [vms for shown_s, vms in self._lists if shown_s <= now_s]
        return past[-1] if past else []

    async def handle(self, exchange: serving.Exchange) -> None:
        """Answer one request."""
        if exchange.path != "/vms" or exchange.method not in ("GET", "PUT"):
            raise serving.not_found()
        if exchange.method == "PUT":
            vms = exchange.json().get("vms")
            if not isinstance(vms, list) or any(
                vm.get("state") not in ("live", "leaving") or "vm" not in vm for vm in vms
            ):
                raise serving.AnswerError(400, {"error": "vms: a list of vm and state"})
            self.set(vms)
        await exchange.answer(200, {"vms": self.shown()})

"""The platform in memory, recording every revision."""

import trio

from standins import keyvalue, memory
from tests.proof import history, network


class RecordingStore(keyvalue.Store):
    """Records each commit with the client that made it."""

    def __init__(self, own_history: history.History) -> None:
        super().__init__()
        self.own_history = own_history
        self.acting = ""

    def expire(self) -> None:
        """Lapsed leases end by nobody's call."""
        acting, self.acting = self.acting, ""
        super().expire()
        self.acting = acting

    def _commit(self) -> None:
        values = {
            pair.key.decode(): pair.value if kind == "PUT" else None for kind, pair in self._events
        }
        super()._commit()
        if values:
            self.own_history.record(history.Committed(self.acting, self.revision, values))


class RecordingClient(memory.MemoryClient):
    """Takes a moment for each call, and tells the store who calls."""

    async def _apply_faults(self) -> None:
        await trio.sleep(network.LATENCY_S)
        await super()._apply_faults()
        self.platform.store.acting = self.client_name


class Platform(memory.MemoryPlatform):
    """The key-value service of a site."""

    def client(self, name: str) -> RecordingClient:
        """Return a client with faults of its own."""
        self.faults.setdefault(name, memory.Faults())
        return RecordingClient("http://memory", name, platform=self)

"""The platform in memory, recording every commit."""

import trio

from standins import keyvalue, memory
from tests.proof import history, network


class RecordingStore(keyvalue.Store):
    """Records each commit with the client that made it.

    :ivar current_client: client of the call in progress; empty for none
    """

    def __init__(self, event_history: history.History) -> None:
        super().__init__()
        self.event_history = event_history
        self.current_client = ""

    def expire(self) -> None:
        """Remove expired leases; their commits are attributed to no client."""
        current_client, self.current_client = self.current_client, ""
        super().expire()
        self.current_client = current_client

    def _commit(self) -> None:
        values = {
            pair.key.decode(): pair.value if kind == "PUT" else None for kind, pair in self._events
        }
        super()._commit()
        if values:
            self.event_history.record(history.Committed(self.current_client, self.revision, values))


class RecordingClient(memory.MemoryClient):
    """Adds latency to each call and sets the store's current client."""

    async def _apply_faults(self) -> None:
        await trio.sleep(network.LATENCY_S)
        await super()._apply_faults()
        self.platform.store.current_client = self.client_name


class Platform(memory.MemoryPlatform):
    """The key-value service of a site."""

    def client(self, name: str) -> RecordingClient:
        """Return a client whose faults are separate from those of other clients."""
        self.faults.setdefault(name, memory.Faults())
        return RecordingClient("http://memory", name, platform=self)

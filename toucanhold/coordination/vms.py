"""Reads the platform's list of live and leaving VMs, which lags behind the VMs' state."""

import abc

import attrs
import httpcore

from toucanhold import network, parsing

CALL_TIMEOUT_S = 2.0
LEAVING_STATE = "leaving"


class VmListError(Exception):
    """The VM list could not be read."""


class VmList(abc.ABC):
    """Lists the VMs that the platform is about to remove."""

    @abc.abstractmethod
    async def read_leaving(self) -> frozenset[str]:
        """Return the names of leaving VMs.

        :raises VmListError: when the list cannot be read or is malformed
        """


class EmptyVmList(VmList):
    """Empty list, for platforms without a VM list."""

    async def read_leaving(self) -> frozenset[str]:
        """See :class:`VmList`."""
        return frozenset()


@attrs.define(eq=False)
class HttpVmList(VmList):
    """Reads the VM list over HTTP.

    :ivar url: answers ``{"vms": [{"vm": NAME, "state": "live" or "leaving"}]}``
    """

    url: str

    async def read_leaving(self) -> frozenset[str]:
        """See :class:`VmList`."""
        timeouts = dict.fromkeys(("connect", "write", "read", "pool"), CALL_TIMEOUT_S)
        try:
            backend = network.PoolBackend()
            async with httpcore.AsyncConnectionPool(retries=0, network_backend=backend) as pool:
                response = await pool.request("GET", self.url, extensions={"timeout": timeouts})
            vms = parsing.load_json(response.content)["vms"]
            return frozenset(vm["vm"] for vm in vms if vm["state"] == LEAVING_STATE)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise VmListError(f"{self.url}: {error!r}") from error
        except (parsing.ParseError, KeyError, TypeError) as error:
            raise VmListError(f"{self.url}: malformed list: {error!r}") from error

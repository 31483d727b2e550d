"""Adapters to the systems that an entry depends on."""

import attrs

from toucanhold import intake, serving, settings
from toucanhold.backends import client, http
from toucanhold.coordination import etcd, keyvalue, vms
from toucanhold.peers import transport


@attrs.frozen
class Adapters:
    """The adapters of one entry; tests replace them with fakes.

    :ivar platform: the key-value service
    :ivar vm_list: the platform's list of VMs
    :ivar backends: client of the backend servers
    :ivar peers: transport of streams to other entries
    :ivar server: HTTP server of callers and operators
    """

    platform: keyvalue.KeyValueClient
    vm_list: vms.VmList
    backends: client.BackendClient
    peers: transport.PeerTransport
    server: serving.HttpServer

    async def close(self) -> None:
        """Close the connections to the key-value service and to the backend servers."""
        await self.platform.close()
        await self.backends.close()


def from_settings(entry_settings: settings.EntrySettings) -> Adapters:
    """Return the production adapters."""
    clients = intake.Intake(
        entry_settings.request_memory_mb * 1024 * 1024, entry_settings.max_connections
    )
    return Adapters(
        platform=etcd.EtcdClient(entry_settings.platform_url, entry_settings.entry),
        vm_list=(
            vms.HttpVmList(entry_settings.vm_list_url)
            if entry_settings.vm_list_url
            else vms.EmptyVmList()
        ),
        backends=http.HttpBackendClient(),
        peers=transport.TcpTransport(),
        server=serving.HypercornServer(
            entry_settings.idle_timeout_s,
            (entry_settings.tls_certificate, entry_settings.tls_key),
            serving.ClientLimits(clients),
        ),
    )

"""Everything an entry meets outside its own process, one adapter each."""

import attrs

from toucanhold import serving, settings
from toucanhold.backends import client, http
from toucanhold.coordination import etcd, keyvalue, vms
from toucanhold.peers import transport


@attrs.frozen
class Outside:
    """The adapters; tests put small fakes in their place."""

    platform: keyvalue.KeyValueClient
    vm_list: vms.VmList
    backends: client.BackendClient
    peers: transport.PeerTransport
    server: serving.HttpServer

    async def close(self) -> None:
        """Release connections."""
        await self.platform.close()
        await self.backends.close()


def from_settings(own: settings.EntrySettings) -> Outside:
    """Return the adapters to the real systems."""
    return Outside(
        platform=etcd.EtcdClient(own.platform_url, own.entry),
        vm_list=vms.HttpVmList(own.vm_list_url) if own.vm_list_url else vms.EmptyVmList(),
        backends=http.HttpBackendClient(),
        peers=transport.TcpTransport(),
        server=serving.HypercornServer(own.idle_timeout_s, (own.tls_certificate, own.tls_key)),
    )

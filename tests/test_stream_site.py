"""Streams from engine processes through an entry process."""

import json
import unittest

import trio

from standins import site as sites

ENGINES = ("vm-zone-a-0", "vm-zone-a-1")
TOKENS = 20


class StreamSiteTest(unittest.TestCase):
    def test_streams_are_resumed_and_engines_freed(self):
        trio.run(self._check_streams)

    async def _check_streams(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 2, "lookups", 0, 1)
        site.engine_options = ("--warm", "--load-s", "0.1", "--token-s", "0.002")
        service = {"name": "drafts", "model": "writer", "version": "1", "replicas": 2}
        async with sites.running(site):
            body = {"document": sites.document_for(site, [service]), "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            await site.wait_status("entry-0", _is_all_serving)
            await self._check_resumption(site)
            await self._check_client_disconnect(site)
            await self._check_stalled_client(site)

    async def _check_resumption(self, site):
        # Both engines cut their next stream after three tokens; the caller must see a complete one.
        for name in ENGINES:
            await _call_engine(site, name, "POST", "faults", {"cut_after_tokens": 3})
        response = await sites.call("POST", _url(site), _chat_body(TOKENS))
        self.assertEqual(200, response.status, response.body)
        ids = [int(line[4:]) for line in response.body.splitlines() if line.startswith(b"id: ")]
        self.assertEqual(list(range(TOKENS)), ids)
        self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"), response.body[-200:])
        histories = [await _call_engine(site, name, "GET", "history") for name in ENGINES]
        runs = [run for history in histories for run in history["runs"]]
        self.assertEqual(3, len(runs))

    async def _check_client_disconnect(self, site):
        # The caller reads one token of a long stream and closes its connection.
        stream = await _open_stream(site, 100_000)
        await stream.receive_some()
        self.assertEqual(1, await _count_running(site))
        await stream.aclose()
        with trio.fail_after(3):
            while await _count_running(site):
                await trio.sleep(0.05)

    async def _check_stalled_client(self, site):
        # The caller keeps its connection open and reads nothing. After ten seconds without buffer
        # space for the stream, its engine must be free although the connection is still open.
        stream = await _open_stream(site, 1_000_000)
        with trio.fail_after(5):
            while not await _count_running(site):
                await trio.sleep(0.05)
        with trio.fail_after(60):
            while await _count_running(site):
                await trio.sleep(0.2)
        await stream.aclose()


def _is_all_serving(status):
    return any(service["serving"] == len(ENGINES) for service in status["services"])


def _url(site):
    return f"http://{site.entries[0].callers}/v1/chat/completions"


def _chat_body(tokens):
    return {
        "model": "drafts",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Explain the revision."}],
    }


async def _open_stream(site, tokens):
    content = json.dumps(_chat_body(tokens)).encode()
    host, _, port = site.entries[0].callers.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    await stream.send_all(head.encode() + content)
    return stream


async def _call_engine(site, name, method, path, body=None):
    url = f"http://{site.vm(name).address}/standin/{path}"
    return (await sites.call(method, url, body)).json()


async def _count_running(site):
    total = 0
    for name in ENGINES:
        report = await sites.call("GET", f"http://{site.vm(name).address}/v1/load")
        total += report.json()["running"]
    return total

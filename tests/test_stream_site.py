"""Streams through a real entry from real engines, each a process of its own."""

import json
import unittest

import trio

from standins import site as sites

ENGINES = ("vm-zone-a-0", "vm-zone-a-1")
TOKENS = 20


class StreamSiteTest(unittest.TestCase):
    def test_streams_are_resumed_and_engines_freed(self):
        trio.run(self._run)

    async def _run(self):
        site = sites.new_site(sites.log_folder(), ("zone-a",), 2, "lookups", 0, 1)
        site.engine_options = ("--warm", "--load-s", "0.1", "--token-s", "0.002")
        service = {"name": "drafts", "model": "writer", "version": "1", "replicas": 2}
        async with sites.running(site):
            body = {"document": sites.document_for(site, [service]), "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            await site.wait_status("entry-0", _both_serve)
            await self._cut(site)
            await self._leave(site)
            await self._stall(site)

    async def _cut(self, site):
        # Both engines cut their next stream after three tokens; the caller sees one whole stream.
        for name in ENGINES:
            await _engine(site, name, "POST", "faults", {"cut_after_tokens": 3})
        answer = await sites.call("POST", _url(site), _chat(TOKENS))
        self.assertEqual(200, answer.status, answer.body)
        ids = [int(line[4:]) for line in answer.body.splitlines() if line.startswith(b"id: ")]
        self.assertEqual(list(range(TOKENS)), ids)
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-200:])
        histories = [await _engine(site, name, "GET", "history") for name in ENGINES]
        runs = [run for history in histories for run in history["runs"]]
        self.assertEqual(3, len(runs))

    async def _leave(self, site):
        # The caller reads one token of a long stream and closes its connection.
        stream = await _open(site, 100_000)
        await stream.receive_some()
        self.assertEqual(1, await _running(site))
        await stream.aclose()
        with trio.fail_after(3):
            while await _running(site):
                await trio.sleep(0.05)

    async def _stall(self, site):
        # The caller keeps its connection open and reads nothing: after ten seconds without room
        # for the stream its engine is free, although the connection still stands.
        stream = await _open(site, 1_000_000)
        with trio.fail_after(5):
            while not await _running(site):
                await trio.sleep(0.05)
        with trio.fail_after(60):
            while await _running(site):
                await trio.sleep(0.2)
        await stream.aclose()


def _both_serve(status):
    return any(each["serving"] == len(ENGINES) for each in status["services"])


def _url(site):
    return f"http://{site.entries[0].callers}/v1/chat/completions"


def _chat(tokens):
    return {
        "model": "drafts",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Explain the revision."}],
    }


async def _open(site, tokens):
    content = json.dumps(_chat(tokens)).encode()
    host, _, port = site.entries[0].callers.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {host}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    await stream.send_all(head.encode() + content)
    return stream


async def _engine(site, name, method, path, body=None):
    url = f"http://{site.vm(name).address}/standin/{path}"
    return (await sites.call(method, url, body)).json()


async def _running(site):
    total = 0
    for name in ENGINES:
        report = await sites.call("GET", f"http://{site.vm(name).address}/v1/load")
        total += report.json()["running"]
    return total

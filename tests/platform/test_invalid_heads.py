"""Tests of answers whose head cannot be one: invalid statuses, and bytes that no name holds."""

import unittest

import trio

from standins import gateways
from tests.platform import early_answers, single_server, standins
from toucanhold.backends import client, http

BODY = b"whole"
LINES = (b"x-attempt-id: a-1", b"x-server-seal: seal-1", b"content-length: %d" % len(BODY))
STATUSES = (
    *(b"000", b"0", b"00", b"099", b"001", b"20", b"2000"),
    *(b"+20", b"2e2", b"", b"abc", "\u0662\u0660\u0660".encode(), b"200\0"),
)
BAD_BYTES = [bytes((number,)) for number in (*range(33), 0x7F, 0x85, 0xA0, *b'"(),/;<=>?@[]{}\\')]
# Read as framing, the second one would cut the body.
FIELDS = ((b"x-more", b"5"), (b"content-length", b"2"))


def new_answer(lines, status=b"200"):
    """Return an answer in bytes."""
    return b"\r\n".join((b"HTTP/1.1 %s OK" % status, *lines, b"", BODY))


def invalid_names(byte):
    """Yield answers in which a name holds a byte, or is nothing else, at each place of the head."""
    for name, value in FIELDS:
        for bad_name in (byte + name, name[:3] + byte + name[3:], name + byte, byte):
            for place in range(len(LINES) + 1):
                line = bad_name + b": " + value
                yield new_answer((*LINES[:place], line, *LINES[place:]))
                # Without its last line, the answer ends with its connection.
                yield new_answer((*LINES[:place], line, *LINES[place:-1]))


class InvalidHeadTest(unittest.TestCase):
    def test_invalid_statuses_are_no_answers(self):
        """Guards against a status that no server may send, such as 000, at a caller."""
        answers = [
            new_answer(lines, status) for status in STATUSES for lines in (LINES, LINES[:2], ())
        ]
        trio.run(self._check, answers)

    def test_names_of_fields_with_other_bytes_are_no_answers(self):
        """Guards against lines of a broken head that are passed on, or read as the body."""
        for byte in BAD_BYTES:
            with self.subTest(byte=byte):
                trio.run(self._check, invalid_names(byte))

    async def _check(self, answers):
        server = early_answers.EarlyServer(b"", early_answers.IN_ORDER)
        found = []
        async with early_answers.serving(server) as address:
            async with single_server.running(address) as (_, entry):
                for number, answer in enumerate(answers):
                    server.answer = answer
                    status = await send_to_entry(entry, number)
                    if status != 502 or await is_read_by_product(address):
                        found.append((status, answer))
        self.assertEqual([], found)


async def send_to_entry(entry, number):
    """Send a request to an entry of the users' platform; return the status of the answer."""
    headers = [
        ("host", gateways.HOST),
        ("x-attempt-id", "a-1"),
        ("x-deadline-remaining-ms", "20000"),
    ]
    status, _, _ = await standins.send_request(entry, "POST", f"/orders/{number}", headers)
    return status


async def is_read_by_product(address):
    """Return whether the client of the product's own path reads an answer to its end."""
    backends = http.HttpBackendClient()
    request = client.ForwardedRequest("POST", "/x", (), b"", "1", 5.0)
    try:
        async with backends.forward(address, request) as response:
            async for _ in response.chunks:
                pass
    except client.AnswerLostError:
        return False
    finally:
        await backends.close()
    return True

"""Crowds of clients that do not behave, before an entry on a small VM.

Each test checks that the process lives within the memory and descriptors of its VM, that it answers
an ordinary request beside the crowd and afterwards, and that nothing is left of the crowd.
"""

import unittest

import trio

from tests.platform import crowds


class PlatformCrowdTest(unittest.TestCase):
    def _play(self, name, number, interface="front"):
        outcome = trio.run(crowds.play_platform, name, f"211.{number}", interface)
        self.assertEqual([], outcome.violations())

    def test_bodies_that_stop_short_of_their_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies by length", 1)

    def test_bodies_in_pieces_that_stop_short_of_their_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies in pieces", 2)

    def test_bodies_in_chunks_that_stop_short_of_their_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies in chunks", 3)

    def test_bodies_in_one_chunk_that_stops_short_of_its_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies in one chunk", 4)

    def test_bodies_without_end(self):
        """Guards against bodies that are read beyond the configured limit."""
        self._play("chunks without end", 5)

    def test_bodies_that_are_announced_too_long(self):
        """Guards against bodies that are read although their length is over the limit."""
        self._play("bodies announced too long", 6)

    def test_chunks_of_one_byte(self):
        """Guards against an event loop that does nothing but parse chunks."""
        self._play("tiny chunks without end", 7)

    def test_heads_that_stop_half_way(self):
        """Guards against unfinished heads that exhaust memory and descriptors."""
        self._play("half heads", 8)

    def test_answers_that_nobody_reads(self):
        """Guards against connections that stay for answers that are never read."""
        self._play("unread answers", 9)

    def test_idle_connections(self):
        """Guards against connections without requests that exhaust the descriptors."""
        self._play("idle connections", 10)

    def test_connections_that_clients_have_closed(self):
        """Guards against descriptors of closed connections that stay until the idle timeout."""
        self._play("closed connections", 11)

    def test_idle_connections_to_the_directory(self):
        """Guards against connections without requests that exhaust the descriptors."""
        self._play("idle connections", 12, "directory")

    def test_idle_connections_to_the_port_for_entries(self):
        """Guards against connections without messages that exhaust the descriptors."""
        self._play("idle connections", 13, "between")


class ProductCrowdTest(unittest.TestCase):
    def _play(self, name, interface="callers"):
        self.assertEqual([], trio.run(crowds.play_product, name, interface).violations())

    def test_bodies_that_stop_short_of_their_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies by length")

    def test_bodies_in_chunks_that_stop_short_of_their_end(self):
        """Guards against bodies of legal size that together exhaust the memory."""
        self._play("bodies in chunks")

    def test_bodies_that_are_announced_too_long(self):
        """Guards against bodies that are read although their length is over the limit."""
        self._play("bodies announced too long")

    def test_chunks_of_one_byte(self):
        """Guards against an event loop that does nothing but parse chunks."""
        self._play("tiny chunks without end")

    def test_heads_that_stop_half_way(self):
        """Guards against unfinished heads that exhaust memory and descriptors."""
        self._play("half heads")

    def test_answers_that_nobody_reads(self):
        """Guards against connections that stay for answers that are never read."""
        self._play("unread answers")

    def test_idle_connections(self):
        """Guards against connections without requests that exhaust the descriptors."""
        self._play("idle connections")

    def test_idle_connections_to_the_operators_interface(self):
        """Guards against connections without requests that exhaust the descriptors."""
        self._play("idle connections", "operators")

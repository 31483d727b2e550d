"""Who goes when clients together hold more than this process may."""

import unittest

from toucanhold import intake

KB = 1024
ROOM = 10 * intake.CONNECTION_BYTES


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.evicted = []
        self.clients = intake.Intake(ROOM + 100 * KB, 10)

    def _open(self, name, received_bytes=None, is_complete=False):
        share = self.clients.open(lambda: self.evicted.append(name))
        if received_bytes is not None:
            self.clients.receive(share, received_bytes)
        if is_complete:
            self.clients.complete(share)
        return share

    def test_the_largest_of_the_older_unfinished_requests_goes(self):
        """Answers a crowd of stalled bodies beside an ordinary caller's larger, younger one."""
        self._open("small", 1 * KB)
        self._open("stalled", 30 * KB)
        self._open("stalled too", 20 * KB)
        caller = self._open("caller", 40 * KB)
        self._open("newest", 1 * KB)
        self.clients.receive(caller, 200 * KB)
        self.assertEqual(["stalled"], self.evicted)
        self.clients.receive(caller, 80 * KB)
        self.assertEqual(["stalled", "stalled too"], self.evicted)

    def test_memory_that_is_freed_counts_no_longer(self):
        stalled = self._open("stalled", 90 * KB)
        self.clients.close(stalled)
        for number in range(3):
            share = self._open(number, 90 * KB, is_complete=True)
            self.clients.finish(share)
        self.assertEqual([], self.evicted)
        self.assertEqual(3 * intake.CONNECTION_BYTES, self.clients.held_bytes)

    def test_requests_that_may_have_run_are_never_given_up(self):
        """Answers a burst of whole requests, of which each waits for a backend server."""
        for number in range(3):
            self._open(number, 100 * KB, is_complete=True)
        self._open("next")
        self.assertEqual(["next"], self.evicted)

    def test_a_single_request_may_be_larger_than_all_memory(self):
        """Guards against a body inside the configured limit that is refused in calm."""
        self._open("idle")
        share = self._open("large", 1 * KB)
        self.clients.receive(share, 5000 * KB)
        self._open("newest")
        self.assertEqual([], self.evicted)

    def test_idle_connections_go_first_when_there_are_too_many(self):
        """Answers a crowd that opens connections and sends nothing."""
        self._open("receiving", 1 * KB)
        for number in range(12):
            self._open(number)
        self.assertEqual([0, 1, 2], self.evicted)

    def test_unfinished_requests_leave_a_place_for_a_new_connection(self):
        """Answers a crowd of half heads in all places."""
        for number in range(10):
            self._open(number, 1 * KB)
        self._open("caller")
        self.assertEqual([0], self.evicted)

    def test_a_new_connection_is_refused_when_all_requests_are_being_answered(self):
        for number in range(10):
            self._open(number, 1 * KB, is_complete=True)
        self._open("newest")
        self.assertEqual(["newest"], self.evicted)

    def test_clients_that_read_no_answers_go_before_those_that_wait(self):
        """Answers a crowd that asks for large answers and reads nothing."""
        unread = self._open("unread", 1 * KB, is_complete=True)
        self._open("waiting", 1 * KB, is_complete=True)
        self.clients.write(unread, 1000 * KB)
        self.assertEqual(["unread"], self.evicted)

    def test_answers_that_are_being_read_are_not_broken_off(self):
        """Guards against streams that end because their last event waits for the event loop."""
        shares = [self._open(number, 100 * KB, is_complete=True) for number in range(3)]
        self.clients.write(shares[0], 1 * KB)
        self._open("newest")
        self.assertEqual(["newest"], self.evicted)

    def test_closing_an_evicted_connection_changes_nothing(self):
        share = self._open("stalled", 200 * KB)
        self._open("other", 300 * KB)
        held_bytes = self.clients.held_bytes
        self.clients.close(share)
        self.clients.receive(share, 50 * KB)
        self.clients.finish(share)
        self.assertEqual(held_bytes, self.clients.held_bytes)
        self.assertEqual(["stalled"], self.evicted)

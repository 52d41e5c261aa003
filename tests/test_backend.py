import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.addresses import Address
from fuchsiaspool.controllers.backend_server import (
    BackendServer,
    ServerReport,
    ServerState,
)
from fuchsiaspool.ids import InstanceId, ServiceName

ADDRESS = Address("10.0.0.1", 80)
QUOTA = ServiceName("quota")


def make_report(sequence, instance="i-1", born=100, **fields):
    return ServerReport(
        InstanceId(instance),
        fields.get("service", QUOTA),
        fields.get("address", ADDRESS),
        10,
        fields.get("state", ServerState.READY),
        sequence,
        born,
    )


class BackendServerTests(unittest.TestCase):
    def setUp(self):
        self.server = BackendServer(QUOTA, ADDRESS)

    def test_late_reports_are_ignored(self):
        self.server.handle_report(make_report(2, state=ServerState.DRAINING))
        self.assertFalse(self.server.handle_report(make_report(1)))
        self.assertIs(self.server.state, ServerState.DRAINING)

    def test_reports_of_an_ended_start_are_ignored(self):
        self.server.handle_report(make_report(1))
        self.server.handle_departure(InstanceId("i-1"), 0)
        self.assertIs(self.server.state, ServerState.ABSENT)
        self.assertFalse(self.server.handle_report(make_report(2)))

    def test_a_new_start_with_the_same_id_restarts_the_sequence(self):
        self.server.handle_report(make_report(9, state=ServerState.DRAINING))
        self.assertTrue(self.server.handle_report(make_report(1, born=200)))
        self.assertIs(self.server.state, ServerState.READY)
        self.assertFalse(self.server.handle_report(make_report(10)))

    def test_reports_of_an_earlier_start_are_ignored(self):
        # They may arrive after a network partition, when that start is dead.
        self.server.handle_report(make_report(1, "i-2", 200))
        self.assertFalse(self.server.handle_report(make_report(50, "i-1", 100)))
        self.server.handle_departure(InstanceId("i-2"), 200)
        self.assertFalse(self.server.handle_report(make_report(51, "i-1", 100)))
        self.assertIs(self.server.state, ServerState.ABSENT)

    def test_a_departure_of_an_earlier_start_is_ignored(self):
        self.server.handle_report(make_report(1, "i-1", 200))
        self.server.handle_departure(InstanceId("i-1"), 100)
        self.server.handle_departure(InstanceId("i-0"), 50)
        self.assertIs(self.server.state, ServerState.READY)

    def test_reports_of_another_service_or_address_are_ignored(self):
        other = make_report(1, service=ServiceName("registry"))
        self.assertFalse(self.server.handle_report(other))
        elsewhere = make_report(1, address=Address("10.0.0.2", 80))
        self.assertFalse(self.server.handle_report(elsewhere))
        self.assertIs(self.server.state, ServerState.ABSENT)

    @given(st.permutations([(b, s) for b in (100, 200) for s in (1, 2, 3)]))
    def test_the_newest_start_wins_in_any_order(self, order):
        server = BackendServer(QUOTA, ADDRESS)
        for born, sequence in order:
            server.handle_report(make_report(sequence, f"i-{born}", born))
        self.assertEqual((server.current.born, server.current.sequence), (200, 3))


class LeavingServerTests(unittest.TestCase):
    def setUp(self):
        self.server = BackendServer(QUOTA, ADDRESS)

    def test_heartbeat_revives_a_server_that_said_it_leaves(self):
        self.server.handle_report(make_report(1))
        self.server.mark_leaving(InstanceId("i-1"), 100, 5000.0)
        self.server.handle_report(make_report(2))
        self.assertIs(self.server.state, ServerState.DRAINING)

    def test_first_heartbeat_revives_a_server_found_by_a_probe(self):
        self.server.handle_report(make_report(0, born=0))
        self.server.mark_leaving(InstanceId("i-1"), 0, 5000.0)
        self.server.handle_report(make_report(1, born=4900))
        self.assertIs(self.server.state, ServerState.DRAINING)

    def test_later_start_under_the_same_id_is_taken_for_the_leaving_one(self):
        for known_born in (0, 100):
            server = BackendServer(QUOTA, ADDRESS)
            server.handle_report(make_report(1, born=known_born))
            server.mark_leaving(InstanceId("i-1"), known_born, 5000.0)
            server.handle_report(make_report(1, born=5100))
            self.assertIs(server.state, ServerState.READY)

    def test_statement_of_an_ended_start_drains_the_present_one(self):
        self.server.handle_report(make_report(1, born=200))
        self.server.mark_leaving(InstanceId("i-1"), 100, 5000.0)
        self.server.mark_leaving(InstanceId("i-0"), 200, 5000.0)
        self.assertIs(self.server.state, ServerState.READY)

import unittest

import gevent

from fuchsiaspool import demo, demo_fleet
from fuchsiaspool.ids import TeamName

from .support import allocate_ports

PORT_COUNT = 200


class WholePathTests(unittest.TestCase):
    def test_calls_cross_the_whole_chain_with_settings_in_force(self):
        ports = demo_fleet.PortAllocator(allocate_ports(PORT_COUNT))
        platform = demo.PlatformStandin(ports.take())
        platform.start()
        self.addCleanup(platform.stop)
        fleet = demo_fleet.start_fleet(ports, platform)
        for node in fleet.nodes:
            self.addCleanup(node.abort)
        for server in fleet.servers:
            self.addCleanup(server.kill)
        team = TeamName("platform")
        failures = demo_fleet.apply_settings(
            platform, demo_fleet.make_settings_texts(), team
        )
        with gevent.Timeout(60):
            while any(node.state.value != "ready" for node in fleet.nodes):
                gevent.sleep(0.05)
        plan = demo.LoadPlan(
            fleet.entry_addresses, demo_fleet.REQUEST_SHAPES, 10.0, 2.0, timeout=5.0
        )
        report = demo.OpenLoadGenerator(plan, demo_fleet.ANSWER_BYTES).run()
        self.assertEqual(failures, [])
        self.assertEqual(report.whole, report.offered)
        self.assertEqual(report.wrong_size_answers, 0)
        self.assertEqual([n for n in fleet.nodes if demo._check_retries(n)], [])

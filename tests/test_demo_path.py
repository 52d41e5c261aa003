import unittest

import gevent

from fuchsiaspool import demo, sites
from fuchsiaspool.ids import TeamName

from .support import allocate_ports

SPAN = 200


class WholePathTests(unittest.TestCase):
    def test_a_call_crosses_the_whole_chain_and_settings_come_into_force(self):
        ports = sites.Ports(allocate_ports(SPAN))
        platform = demo.PlatformStandin(ports.take())
        platform.start()
        self.addCleanup(platform.stop)
        site = sites.start_nodes(ports, platform)
        for node in site.nodes:
            self.addCleanup(node.abort)
        for server in site.servers:
            self.addCleanup(server.kill)
        team = TeamName("platform")
        faults = sites.apply_settings(platform, sites.make_texts(), team)
        with gevent.Timeout(60):
            while any(node.state.value != "ready" for node in site.nodes):
                gevent.sleep(0.05)
        plan = demo.LoadPlan(site.entries, sites.SHAPES, 10.0, 2.0, timeout=5.0)
        report = demo.OpenLoad(plan, sites.ANSWER_SIZE).run()
        self.assertEqual(faults, [])
        self.assertEqual(report.whole, report.offered)
        self.assertEqual(report.wrong_size_answers, 0)
        self.assertEqual([n for n in site.nodes if demo._check_node(n)], [])

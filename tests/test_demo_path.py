import unittest

import gevent

from fuchsiaspool import demo


class WholePathTests(unittest.TestCase):
    def test_a_call_crosses_the_whole_chain_and_settings_come_into_force(self):
        ports = demo.Ports(22_000)
        platform = demo.PlatformStandin(ports.take())
        platform.start()
        self.addCleanup(platform.stop)
        site = demo._start_nodes(ports, platform)
        for node in site.nodes:
            self.addCleanup(node.cut)
        for server in site.servers:
            self.addCleanup(server.kill)
        team = demo.TeamName("platform")
        faults = demo._apply_settings(platform, demo._make_texts(), team)
        with gevent.Timeout(60):
            while any(node.state.value != "ready" for node in site.nodes):
                gevent.sleep(0.05)
        plan = demo.LoadPlan(site.entries, demo.SHAPES, 10.0, 2.0, timeout=5.0)
        report = demo.OpenLoad(plan, demo.ANSWER_SIZE).run()
        self.assertEqual(faults, [])
        self.assertEqual(report.whole, report.offered)
        self.assertEqual(report.short_answers, 0)
        self.assertEqual([n for n in site.nodes if demo._check_node(n)], [])

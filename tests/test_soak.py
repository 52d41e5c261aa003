import unittest

from .soak import run_seed


class SoakTests(unittest.TestCase):
    def test_servers_statements_are_ignored_under_overlapping_faults(self):
        broken, summary = run_seed(seed=7, seconds=6.0, nodes=5)
        self.assertEqual(broken, [], summary)
        self.assertIn("200", summary)

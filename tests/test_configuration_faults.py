"""Test how soon nodes learn of a change while the store refuses or ignores some."""

import unittest

from .test_configuration import CHANGE_LIMIT_SECONDS, Fleet

SEEDS = 1000


def measure_change(seed, count, make_fleet=Fleet, refused_share=0.0):
    """Return the seconds until any node has a change that no watcher can read."""
    fleet = make_fleet(count, (0, 1))
    fleet.rng.seed(seed)
    fleet.store_revision()
    fleet.clock.advance(10.0)
    refused = max(0, int(count * refused_share) - 2)
    fleet.unreachable_nodes |= {0, 1, *fleet.rng.sample(range(2, count), refused)}
    fleet.clock.advance(1.0)
    version = fleet.store_revision()
    changed_at = fleet.clock.now()
    while all(recorder.revision < version for recorder in fleet.recorders):
        fleet.clock.advance(0.1)
        if fleet.clock.now() - changed_at > 60.0:
            break
    return fleet.clock.now() - changed_at


class PollTests(unittest.TestCase):
    def test_polls_begin_soon_after_all_nodes_start_together(self):
        for count, seeds in ((18, 200), (40, 200), (195, 40)):
            with self.subTest(nodes=count):
                delays = sorted(measure_change(seed, count) for seed in range(seeds))
                # A poll each 2 s on average, at random moments.
                self.assertLessEqual(delays[seeds // 2], 2.5)
                self.assertLessEqual(delays[int(0.9 * seeds)], CHANGE_LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()

"""A machine that was suspended: its monotonic clock stood still meanwhile."""

import time
import unittest
from unittest import mock

from fuchsiaspool.clock import SystemClock
from fuchsiaspool.controllers.admission import Admission
from fuchsiaspool.filters.admission import make_admission_filter
from fuchsiaspool.filters.deadline import make_deadline_filter
from fuchsiaspool.outcomes import Answered, NotRunReason

from .support import make_call

SUSPENDED_SECONDS = 4.0
_read = time.clock_gettime


def read_after(clock_id):
    """Read a clock as it stands after a suspend."""
    counts = clock_id in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
    return _read(clock_id) + (SUSPENDED_SECONDS if counts else 0.0)


class SuspendTests(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        self.sent = []

    def send(self, call):
        self.sent.append(call)
        return Answered(200, [], None)

    def test_a_call_whose_time_ran_out_meanwhile_is_not_sent(self):
        call = make_call(self.clock, seconds=SUSPENDED_SECONDS / 2)
        with mock.patch("time.clock_gettime", read_after):
            outcome = make_deadline_filter(self.clock)(call, self.send)
        self.assertIs(outcome.reason, NotRunReason.DEADLINE)
        self.assertEqual(self.sent, [])

    def test_a_call_that_waited_for_a_slot_meanwhile_is_not_sent(self):
        admission = Admission(self.clock, 1, 0.03, 0.5, learns_limit=False)
        admission.acquire(make_call(self.clock))
        admit = make_admission_filter(self.clock, admission, lambda: None)
        waiting = make_call(self.clock, critical=True, seconds=SUSPENDED_SECONDS / 2)
        outcomes = []
        self.clock.spawn(lambda: outcomes.append(admit(waiting, self.send)))
        self.clock.sleep(0.01)
        with mock.patch("time.clock_gettime", read_after):
            admission.release(waiting, 0.01, rejected=False, ran=True)
            self.clock.sleep(0.01)
        self.assertIs(outcomes[0].reason, NotRunReason.DEADLINE)
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()

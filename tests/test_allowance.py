import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.retry_allowance import RetryAllowance

# A tree of calls: what each child's answer does to the lent allowance.
FATES = st.sampled_from(["answered", "lost", "late"])
TREES = st.recursive(
    st.lists(st.tuples(st.integers(0, 3), FATES, st.just([])), max_size=3),
    lambda children: st.lists(
        st.tuples(st.integers(0, 3), FATES, children), max_size=4
    ),
    max_leaves=40,
)


def spend(allowance, children):
    """Let every child retry as often as it may; return the retries made."""
    retries = 0
    late = []
    for wanted, fate, below in children:
        lent = allowance.lend()
        child = RetryAllowance(lent)
        retries += spend(child, below)
        for _ in range(wanted):
            retries += child.take()
        if fate == "answered":
            allowance.reclaim(lent, child.spent)
        if fate == "late":
            late.append((lent, child))
        retries += allowance.take() if wanted else 0
    for lent, child in late:
        # It went on after its parent had stopped waiting, and answers now.
        while child.take():
            retries += 1
        allowance.reclaim(lent, child.spent)
    return retries


class AllowanceTests(unittest.TestCase):
    @given(st.integers(0, 5), TREES)
    def test_retries_of_a_tree_never_exceed_the_grant(self, granted, tree):
        allowance = RetryAllowance(granted)
        self.assertLessEqual(spend(allowance, tree), granted)

    def test_bound_holds_thirty_calls_deep(self):
        tree = []
        for _ in range(30):
            tree = [(3, "answered", tree), (3, "lost", [])]
        self.assertLessEqual(spend(RetryAllowance(5), tree), 5)

    def test_a_chain_without_siblings_keeps_one_retry_to_the_end(self):
        allowance = RetryAllowance(1)
        for _ in range(30):
            allowance = RetryAllowance(allowance.lend())
        self.assertTrue(allowance.take())

    def test_a_child_cannot_return_more_than_it_was_lent(self):
        allowance = RetryAllowance(2)
        lent = allowance.lend()
        allowance.reclaim(lent, -5)
        self.assertEqual(allowance.left, 2)

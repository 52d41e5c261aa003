import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.allowance import Allowance

# A call tree. Each nested call has a number of wanted retries, the fate of its answer,
# which decides whether the lent retries are reclaimed, and its own nested calls.
FATES = st.sampled_from(["answered", "lost", "late"])
TREES = st.recursive(
    st.lists(st.tuples(st.integers(0, 3), FATES, st.just([])), max_size=3),
    lambda children: st.lists(
        st.tuples(st.integers(0, 3), FATES, children), max_size=4
    ),
    max_leaves=40,
)


def spend(allowance, children):
    """Let every nested call retry as often as it may; return the retries made."""
    retries = 0
    late = []
    for wanted, fate, below in children:
        lent = allowance.lend()
        child = Allowance(lent)
        retries += spend(child, below)
        for _ in range(wanted):
            retries += child.take()
        if fate == "answered":
            allowance.settle(lent, child.charged)
        if fate == "late":
            late.append((lent, child))
        retries += allowance.take() if wanted else 0
    for lent, child in late:
        # The nested call continues after its parent's timeout and answers only now.
        while child.take():
            retries += 1
        allowance.settle(lent, child.charged)
    return retries


class AllowanceTests(unittest.TestCase):
    @given(st.integers(0, 5), TREES)
    def test_retries_of_a_tree_never_exceed_the_grant(self, granted, tree):
        allowance = Allowance(granted)
        self.assertLessEqual(spend(allowance, tree), granted)

    def test_bound_holds_thirty_calls_deep(self):
        tree = []
        for _ in range(30):
            tree = [(3, "answered", tree), (3, "lost", [])]
        self.assertLessEqual(spend(Allowance(5), tree), 5)

    def test_a_chain_without_siblings_keeps_one_retry_to_the_end(self):
        allowance = Allowance(1)
        for _ in range(30):
            allowance = Allowance(allowance.lend())
        self.assertTrue(allowance.take())

    def test_a_child_cannot_return_more_than_it_was_lent(self):
        allowance = Allowance(2)
        lent = allowance.lend()
        allowance.settle(lent, -5)
        self.assertEqual(allowance.left, 2)

import unittest

from hypothesis import given, strategies as st

from fuchsiaspool.retry_allowance import RetryAllowance

# A call tree. Each nested call has a number of wanted retries, the fate of its answer,
# which decides whether the lent retries are reclaimed, and its own nested calls.
ANSWER_FATES = st.sampled_from(["answered", "lost", "late"])
CALL_TREES = st.recursive(
    st.lists(st.tuples(st.integers(0, 3), ANSWER_FATES, st.just([])), max_size=3),
    lambda children: st.lists(
        st.tuples(st.integers(0, 3), ANSWER_FATES, children), max_size=4
    ),
    max_leaves=40,
)


def make_retries(allowance, nested_calls):
    """Make every retry that the nested calls want and may make; return their number."""
    retries = 0
    late = []
    for wanted, fate, deeper_calls in nested_calls:
        lent = allowance.lend()
        nested_allowance = RetryAllowance(lent)
        retries += make_retries(nested_allowance, deeper_calls)
        for _ in range(wanted):
            retries += nested_allowance.take()
        if fate == "answered":
            allowance.reclaim(lent, nested_allowance.spent)
        if fate == "late":
            late.append((lent, nested_allowance))
        retries += allowance.take() if wanted else 0
    for lent, nested_allowance in late:
        # The nested call continues after its parent's timeout and answers only now.
        while nested_allowance.take():
            retries += 1
        allowance.reclaim(lent, nested_allowance.spent)
    return retries


class AllowanceTests(unittest.TestCase):
    @given(st.integers(0, 5), CALL_TREES)
    def test_retries_of_a_tree_never_exceed_the_grant(self, granted, tree):
        allowance = RetryAllowance(granted)
        self.assertLessEqual(make_retries(allowance, tree), granted)

    def test_bound_holds_in_a_chain_of_thirty_calls(self):
        tree = []
        for _ in range(30):
            tree = [(3, "answered", tree), (3, "lost", [])]
        self.assertLessEqual(make_retries(RetryAllowance(5), tree), 5)

    def test_chain_without_siblings_keeps_its_retry(self):
        allowance = RetryAllowance(1)
        for _ in range(30):
            allowance = RetryAllowance(allowance.lend())
        self.assertTrue(allowance.take())

    def test_nested_call_cannot_return_more_than_it_was_lent(self):
        allowance = RetryAllowance(2)
        lent = allowance.lend()
        allowance.reclaim(lent, -5)
        self.assertEqual(allowance.left, 2)

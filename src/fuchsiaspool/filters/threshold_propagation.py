"""Report the shedding threshold met downstream to the calling nodes.

Where a service deep in the call chains is saturated, every call that leads to it ends
at its deadline, and the answers that would carry the threshold back are cut off before
they arrive. Each node therefore also reports the threshold that other calls of the same
operation at its server have met.
"""

from ..calls import Call, CallHandler, Filter
from ..controllers.threshold import LearnedThresholds
from ..outcomes import NO_THRESHOLD, Answered, Outcome


def make_threshold_propagation_filter(
    downstream_thresholds: LearnedThresholds,
) -> Filter:
    """Return a filter that adds the threshold learned downstream to each outcome."""

    def add_threshold(call: Call, call_next: CallHandler) -> Outcome:
        outcome = call_next(call)
        threshold = downstream_thresholds.find(call.service, call.operation)
        outcome.threshold = min(outcome.threshold, threshold)
        return outcome

    return add_threshold


def learn_downstream_threshold(
    downstream_thresholds: LearnedThresholds, parent: Call, outcome: Outcome
) -> None:
    """Learn the threshold that a nested call made for `parent` met downstream."""
    if isinstance(outcome, Answered) or outcome.threshold < NO_THRESHOLD:
        downstream_thresholds.learn(parent.service, parent.operation, outcome.threshold)

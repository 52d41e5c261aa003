"""Tell whoever calls the level that was met beneath calls of the same kind.

Answers the load pattern in which a service deep in the chains saturates and every call
above it ends at its deadline: the answers that would carry the level back are cut off
on the way, so each node passes on what its server's other calls have met.
"""

from ..calls import Call, CallHandler, Filter
from ..controllers.threshold import LearnedThresholds
from ..outcomes import NO_THRESHOLD, Answered, Outcome


def make_threshold_propagation_filter(beneath: LearnedThresholds) -> Filter:
    """Return a filter that stamps each outcome with the level learned beneath."""

    def relay(call: Call, following: CallHandler) -> Outcome:
        outcome = following(call)
        found = beneath.find(call.service, call.operation)
        outcome.threshold = min(outcome.threshold, found)
        return outcome

    return relay


def learn_downstream_threshold(
    beneath: LearnedThresholds, parent: Call, outcome: Outcome
) -> None:
    """Take in how a call ended that a server made for a request it serves."""
    if isinstance(outcome, Answered) or outcome.threshold < NO_THRESHOLD:
        beneath.learn(parent.service, parent.operation, outcome.threshold)

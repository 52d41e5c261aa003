"""Shed upstream what servers downstream would shed."""

from ..calls import Call, Filter, Next
from ..controllers.threshold import LearnedThresholds
from ..outcomes import NO_THRESHOLD, Answered, NotRun, NotRunReason, Outcome


def make_shedding(learned: LearnedThresholds) -> Filter:
    """Return a filter that refuses calls above the learned threshold."""

    def shed(call: Call, following: Next) -> Outcome:
        threshold = learned.find(call.service, call.operation)
        # Of a nested call the work above is done already: it is not wasted here.
        if not call.critical and not call.nested and call.rank > threshold:
            detail = "shed before sending"
            return NotRun(NotRunReason.SHED, detail, threshold=threshold)
        outcome = following(call)
        # An outcome made on this side of the server tells nothing of its threshold.
        if isinstance(outcome, Answered) or outcome.threshold < NO_THRESHOLD:
            learned.learn(call.service, call.operation, outcome.threshold)
        return outcome

    return shed

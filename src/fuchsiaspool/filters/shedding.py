"""Shed upstream what servers downstream would shed."""

from ..calls import Call, CallHandler, Filter
from ..controllers.threshold import LearnedThresholds
from ..outcomes import NO_THRESHOLD, Answered, NotRun, NotRunReason, Outcome


def make_shedding_filter(
    learned: LearnedThresholds, learn_from_local_outcomes: bool = True
) -> Filter:
    """Return a filter that refuses calls above the learned threshold.

    Unless it `learns_from_all`, an outcome made on this side of the server, such as a
    timeout, is not taken for the word of a server that sheds nothing.
    """

    def shed(call: Call, following: CallHandler) -> Outcome:
        threshold = learned.find(call.service, call.operation)
        # Of a nested call the work above is done already: it is not wasted here.
        if not call.critical and not call.nested and call.rank > threshold:
            detail = "shed before sending"
            return NotRun(NotRunReason.SHED, detail, threshold=threshold)
        outcome = following(call)
        told = isinstance(outcome, Answered) or outcome.threshold < NO_THRESHOLD
        if learn_from_local_outcomes or told:
            learned.learn(call.service, call.operation, outcome.threshold)
        return outcome

    return shed

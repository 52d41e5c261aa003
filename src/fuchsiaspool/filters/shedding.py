"""Shed calls at the calling node that the servers downstream would shed."""

from ..calls import Call, CallHandler, Filter
from ..controllers.threshold import LearnedThresholds
from ..outcomes import NO_THRESHOLD, Answered, NotRun, NotRunReason, Outcome


def make_shedding_filter(
    learned_thresholds: LearnedThresholds, learn_from_local_outcomes: bool = True
) -> Filter:
    """Return a filter that rejects calls above the learned threshold.

    Unless `learn_from_local_outcomes` is set, an outcome that the calling node made,
    such as a timeout, is not taken as the report of a server that sheds nothing.
    """

    def shed(call: Call, call_next: CallHandler) -> Outcome:
        threshold = learned_thresholds.find(call.service, call.operation)
        # A nested call is not shed here: the work already done for its request would
        # be wasted.
        if not call.critical and not call.nested and call.rank > threshold:
            detail = "shed before sending"
            return NotRun(NotRunReason.SHED, detail, threshold=threshold)
        outcome = call_next(call)
        reported_by_server = (
            isinstance(outcome, Answered) or outcome.threshold < NO_THRESHOLD
        )
        if learn_from_local_outcomes or reported_by_server:
            learned_thresholds.learn(call.service, call.operation, outcome.threshold)
        return outcome

    return shed

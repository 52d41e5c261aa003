"""Give each call its operation, class and rank."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter, compute_rank
from ..outcomes import NotRun, NotRunReason, Outcome
from ..settings.policy import Policy


def make_classification_filter(get_policy: Callable[[], Policy]) -> Filter:
    """Return a filter that looks the call up in the settings."""

    def classify(call: Call, following: CallHandler) -> Outcome:
        policy = get_policy()
        service = policy.services.get(call.service)
        if service is None and policy.revision == 0:
            return NotRun(NotRunReason.NOT_READY, "no settings yet")
        if service is None:
            detail = f"no service {call.service!r} in the settings"
            return NotRun(NotRunReason.UNKNOWN_SERVICE, detail)
        operation = service.find_operation(call.method, call.target)
        call.operation = operation.name
        call.call_class = operation.call_class
        call.idempotent = operation.idempotent
        call.protected = operation.protected
        call.deadline = min(call.deadline, call.start + operation.deadline)
        # A nested call keeps the rank of the caller's request.
        if not call.classified:
            call.rank = compute_rank(operation.priority, call.request)
            call.critical = operation.critical
            call.classified = True
        return following(call)

    return classify

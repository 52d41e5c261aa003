"""Give each call its route, service, rank and deadline."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter, compute_rank
from ..controllers.weighted_round_robin import WeightedRoundRobin
from ..ids import ClassName, OperationName
from ..outcomes import NotRun, NotRunReason, Outcome
from ..routes import RouteTable


def make_route_lookup_filter(
    get_table: Callable[[], RouteTable], rotation: WeightedRoundRobin
) -> Filter:
    """Return a filter that looks the call up in the configuration in force."""

    def look_up(call: Call, following: CallHandler) -> Outcome:
        table = get_table()
        if table.revision == 0:
            return NotRun(NotRunReason.NOT_READY, "no configuration yet")
        route = table.find(call.host, call.target)
        if route is None:
            return NotRun(NotRunReason.NO_ROUTE, f"configuration {table.version}")
        call.operation = OperationName(route.name)
        call.call_class = ClassName(route.name)
        call.idempotent = route.idempotent
        # A nested call keeps the rank of the request it is made for.
        if not call.classified:
            call.rank = compute_rank(min(route.priority, 7), call.request)
            call.critical = route.priority == 0
            call.classified = True
        call.max_attempts = route.max_attempts
        call.soft_deadline = call.start + route.target_latency
        call.deadline = min(call.deadline, call.start + route.timeout)
        call.service = rotation.choose(route)
        return following(call)

    return look_up

"""Set the route, service, rank and deadline of each call."""

from collections.abc import Callable

from ..calls import Call, CallHandler, Filter, compute_rank
from ..controllers.weighted_round_robin import WeightedRoundRobin
from ..ids import ClassName, OperationName
from ..outcomes import NotRun, NotRunReason, Outcome
from ..routes import RouteTable


def make_route_lookup_filter(
    get_route_table: Callable[[], RouteTable], weighted_round_robin: WeightedRoundRobin
) -> Filter:
    """Return a filter that looks up the route in the configuration in force."""

    def look_up_route(call: Call, call_next: CallHandler) -> Outcome:
        route_table = get_route_table()
        if route_table.revision == 0:
            return NotRun(NotRunReason.NOT_READY, "no configuration yet")
        route = route_table.find(call.host, call.target)
        if route is None:
            return NotRun(NotRunReason.NO_ROUTE, f"configuration {route_table.version}")
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
        call.service = weighted_round_robin.choose(route)
        return call_next(call)

    return look_up_route

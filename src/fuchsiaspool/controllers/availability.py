"""Update the node's member record to the state of its backend server."""

from collections.abc import Callable

from .backend_server import BackendServer, ServerState
from .membership import Membership


def make_availability_updater(
    server: BackendServer, membership: Membership, is_withheld: Callable[[], bool]
) -> Callable[[], None]:
    """Return a function that marks the node available while its server takes work.

    `is_withheld` returns whether the node takes none, whatever its server does.
    """

    def update_membership() -> None:
        membership.set_left_start(server.left_start)
        if server.state is ServerState.READY and not is_withheld():
            membership.mark_available()
        else:
            membership.leave()

    return update_membership

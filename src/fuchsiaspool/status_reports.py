"""Describe a node to operators."""

from .chains import Core
from .control import ClassStatus, HistogramExport
from .controllers.counters import OutcomeCounters
from .controllers.member_table import MemberTable


def count_members_by_state(members: MemberTable) -> dict[str, int]:
    """Return how many members are in each state."""
    states: dict[str, int] = {}
    for member in members.list_all():
        name = member.state.name.lower()
        states[name] = states.get(name, 0) + 1
    return states


def summarise_classes(counters: OutcomeCounters) -> dict[str, ClassStatus]:
    """Return how the calls of each class ended."""
    return {
        name: ClassStatus(
            counts.answered,
            counts.failed,
            dict(counts.not_run),
            dict(counts.unknown),
            counts.retries,
        )
        for name, counts in counters.counts_by_class.items()
    }


def export_histograms(core: Core) -> list[HistogramExport]:
    """Return every histogram in the library's own mergeable encoding."""
    return [
        HistogramExport(measure.value, kind, name, data.decode())
        for (measure, kind, name), data in core.histograms.export().items()
    ]

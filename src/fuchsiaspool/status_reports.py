"""Summarise the state of a node for its control pages."""

from .chains import Core
from .control import ClassStatus, HistogramExport
from .controllers.counters import OutcomeCounters
from .controllers.member_table import MemberTable


def count_members_by_state(members: MemberTable) -> dict[str, int]:
    """Return the number of members by state."""
    states: dict[str, int] = {}
    for member in members.list_all():
        name = member.state.name.lower()
        states[name] = states.get(name, 0) + 1
    return states


def summarise_classes(counters: OutcomeCounters) -> dict[str, ClassStatus]:
    """Return the outcome counts of each call class."""
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
    """Return all histograms in the mergeable encoding of HdrHistogram."""
    return [
        HistogramExport(measure.value, kind, name, data.decode())
        for (measure, kind, name), data in core.histograms.export().items()
    ]

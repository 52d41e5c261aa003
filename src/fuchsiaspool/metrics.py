"""Format what a node counts as text, one figure a line."""

from typing import Final

from .controllers.admission import Admission
from .controllers.counters import OutcomeCounters
from .controllers.histograms import Histograms, Measure
from .ids import Revision

# Shown of each histogram of latencies.
PERCENTILES: Final = (50.0, 90.0, 99.0)


def format_metrics(
    admission: Admission,
    revision: Revision,
    counters: OutcomeCounters,
    histograms: Histograms,
) -> str:
    """Return the load of the own server, and how calls that began here ended."""
    lines = [
        f"in_flight {admission.in_flight}",
        f"queued {admission.queued}",
        f"limit {admission.limit.value:.1f}",
        f"log_configuration_revision {revision}",
    ]
    for name, counts in sorted(counters.counts_by_class.items()):
        lines.append(f'answered{{class="{name}"}} {counts.answered}')
        lines.append(f'failed{{class="{name}"}} {counts.failed}')
        for reason, count in sorted(counts.not_run.items()):
            lines.append(f'not_run{{class="{name}",reason="{reason}"}} {count}')
        for reason, count in sorted(counts.unknown.items()):
            lines.append(f'unknown{{class="{name}",reason="{reason}"}} {count}')
    for measure in Measure:
        for percentile in PERCENTILES:
            found = histograms.summarize(measure, percentile)
            for name, seconds in sorted(found.items()):
                labels = f'class="{name}",percentile="{percentile:g}"'
                lines.append(f"{measure.value}_seconds{{{labels}}} {seconds:.4f}")
    return "\n".join(lines) + "\n"

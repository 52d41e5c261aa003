"""Format the metrics of a node as text, one value per line."""

from typing import Final

from .controllers.admission import Admission
from .controllers.counters import OutcomeCounters
from .controllers.histograms import Histograms, Measure
from .controllers.quarantine import Quarantine
from .controllers.server_notices import LocalServerNotices
from .ids import Era, Revision

# Percentiles reported for each latency histogram.
PERCENTILES: Final = (50.0, 90.0, 99.0)


def format_metrics(
    admission: Admission,
    revision: Revision,
    store_era: Era,
    counters: OutcomeCounters,
    histograms: Histograms,
    notices: LocalServerNotices,
    task_failures: int,
    crashes: int,
    quarantine: Quarantine,
) -> str:
    """Return the local server's load and the outcomes of calls that originate here."""
    lines = [
        f"in_flight {admission.in_flight}",
        f"queued {admission.queued}",
        f"limit {admission.limit.value:.1f}",
        f"server_requests {notices.requests}",
        f"server_leaving {int(notices.leaving)}",
        f"log_configuration_revision {revision}",
        f"store_era {store_era}",
        f"task_failures {task_failures}",
        f"server_crashes {crashes}",
        f"quarantined_requests {len(quarantine.list_blocked())}",
        f"quarantine_refusals {quarantine.refusals}",
    ]
    if notices.limit is not None:
        lines.append(f"server_limit {notices.limit:g}")
    for name, counts in sorted(counters.counts_by_class.items()):
        lines.append(f'answered{{class="{name}"}} {counts.answered}')
        lines.append(f'failed{{class="{name}"}} {counts.failed}')
        for reason, count in sorted(counts.not_run.items()):
            lines.append(f'not_run{{class="{name}",reason="{reason}"}} {count}')
        for reason, count in sorted(counts.unknown.items()):
            lines.append(f'unknown{{class="{name}",reason="{reason}"}} {count}')
    for measure in Measure:
        for percentile in PERCENTILES:
            seconds_by_class = histograms.summarize(measure, percentile)
            for name, seconds in sorted(seconds_by_class.items()):
                labels = f'class="{name}",percentile="{percentile:g}"'
                lines.append(f"{measure.value}_seconds{{{labels}}} {seconds:.4f}")
    return "\n".join(lines) + "\n"

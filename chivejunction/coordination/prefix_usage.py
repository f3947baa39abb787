"""Uses and copies of prompt prefixes: counted here, told to other gateways."""

from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import hints
from chivejunction.protocol import forwarding
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import prefix_placement
from chivejunction.state import prefix_rates

MAX_KEY = 2**64 - 1
COPIES = metrics.make_counter(
    'prefix_copies',
    'Copies of prompt prefixes between servers, by reason.',
    'reason',
)
COPIED_BYTES = metrics.make_counter(
    'prefix_copied_bytes', 'Bytes of prompt prefixes copied between servers.'
)


def _decode_row(row: list) -> tuple[int, prefix_rates.PrefixRate]:
    """Decodes prefix key, hundredths of uses and milliseconds per second."""
    key, uses, load = (int(item) for item in row[:3])
    if not (0 <= key <= MAX_KEY and uses >= 0 and load >= 0):
        raise ValueError('a rate is negative or its key is none')
    return key, prefix_rates.PrefixRate(
        min(uses / 100, prefix_rates.MAX_USES),
        min(load / 1000, prefix_rates.MAX_LOAD),
    )


class PrefixUsage(hints.HintSection):
    """Counts uses and copies of prefixes and exchanges their rates.

    Args:
        placer: Places prefixes by these rates.
    """

    name = 'rates'

    def __init__(self, placer: prefix_placement.PrefixPlacer):
        self._rates, self._links = placer.rates, placer.links

    def collect_rows(self, region: str) -> list:
        """Returns a row of key, uses and load for each reported prefix."""
        return [
            (key, int(100 * rate.uses), int(1000 * rate.load))
            for key, rate in self._rates.list_reported()
        ]

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Replaces the rates of another gateway.

        Raises:
            ValueError, TypeError, OverflowError: A row is malformed.
        """
        self._rates.set_peer_rates(
            gateway,
            dict(
                _decode_row(row)
                for row in rows[: prefix_rates.MAX_ROWS_PER_PEER]
            ),
        )

    def record(
        self,
        service: forwarding.BackendService,
        choice: backend_selection.Choice,
    ) -> None:
        """Counts an attempt that is sent, and its copy."""
        placement, backend = choice.placement, choice.backend
        if placement is None:
            return
        # A stream uses one of the places of its server.
        self._rates.record_use(
            placement.key,
            placement.use_seconds
            + choice.stream_seconds / max(1, service.slots),
        )
        if choice.replica_count != placement.previous_count:
            logs.log_decision(
                'prefix replicas',
                prefix=f'{placement.key:016x}',
                service=service.name,
                replicas=choice.replica_count,
                before=placement.previous_count,
                uses=round(placement.uses, 1),
            )
        if choice.source is not None:
            COPIES.labels(choice.copy_verdict.value).inc()
            COPIED_BYTES.inc(choice.copied_bytes)
            self._links.start_copy(
                service.name,
                choice.source.instance,
                backend.instance,
                choice.copied_bytes,
                choice.copy_seconds,
            )

    def count_replicated(self) -> int:
        """Returns the number of prefixes with more than one replica."""
        return self._rates.count_replicated()

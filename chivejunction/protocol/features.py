"""Optional features of the forwarding gateway."""

import enum


class Feature(enum.StrEnum):
    """Features that a deployment switches on by its settings.

    Attributes:
        SERVER_PACES: Prefill and event paces are learned for each server.
        PREFIX_PLACEMENT: How many servers hold a prompt prefix follows its
            rate of use and what a copy costs.
        FAIR_SHARES: Scarce capacity is divided among organisations.
        DOMAIN_SHARES: Work stays in its failure domain while that pays.
        STREAM_PAUSES: Long prompts avoid servers where reading them would
            delay the events of other streams beyond the routes' targets.
    """

    SERVER_PACES = 'server_paces'
    PREFIX_PLACEMENT = 'prefix_placement'
    FAIR_SHARES = 'fair_shares'
    DOMAIN_SHARES = 'domain_shares'
    STREAM_PAUSES = 'stream_pauses'


def parse_features(text: str) -> frozenset[Feature]:
    """Returns the features in a list separated by commas.

    Raises:
        ValueError: A name is not that of a feature; the message lists all.
    """
    names = [name.strip() for name in text.split(',')]
    try:
        return frozenset(Feature(name) for name in names if name)
    except ValueError as exc:
        known = ', '.join(Feature)
        raise ValueError(f'{exc}; accepted are: {known}') from None

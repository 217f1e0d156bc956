"""Settings of what a gateway knows of endpoints, and its part of the allowance."""

from attrs import field, frozen, validators

from chivewall.decisions.repeat_budget import RepeatBudgetPolicy

# The fixed part of the allowance is divided by twice the gateways that are known, and by
# this many at least: a restarted one spends its part again, and some may be unknown.
LEAST_SHARERS = 12
SHARERS_PER_GATEWAY = 2


@frozen
class FleetSettings:
    """Bounds that the platform sets."""

    drain_ms: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time after which a leaving endpoint may get no request, ms."},
    )
    repeat_ratio: float = field(
        validator=validators.ge(0),
        metadata={"help": "Repeated arrivals allowed for each request of a service."},
    )
    repeat_window_seconds: float = field(
        validator=validators.gt(0), metadata={"help": "Window of the allowance, seconds."}
    )
    repeat_burst: float = field(
        validator=validators.ge(0),
        metadata={"help": "Repeated arrivals allowed beyond the ratio, of all machines."},
    )


def allowance_policy(cfg: FleetSettings, gateways: int) -> RepeatBudgetPolicy:
    """Return the allowance of one gateway among so many."""
    sharers = max(LEAST_SHARERS, SHARERS_PER_GATEWAY * gateways)
    return RepeatBudgetPolicy(
        ratio=cfg.repeat_ratio,
        window_seconds=cfg.repeat_window_seconds,
        burst=cfg.repeat_burst / sharers,
    )

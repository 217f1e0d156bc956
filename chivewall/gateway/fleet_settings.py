"""Settings of the ``Fleet``, and the repeat budget that they give to one gateway."""

from attrs import field, frozen, validators

from chivewall.decisions.repeat_budget import RepeatBudgetPolicy
from chivewall.decisions.speeds import SpeedPriors

# The burst of the repeat budget is divided by twice the number of known gateways, and at least
# by this number: a restarted gateway spends its part again, and some gateways may be unknown.
MIN_BURST_SHARES = 12
BURST_SHARES_PER_GATEWAY = 2


@frozen
class FleetSettings:
    """Drain time and retry limits that the platform sets."""

    drain_ms: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time after which a draining endpoint may get no more requests, ms."},
    )
    repeat_ratio: float = field(
        validator=validators.ge(0),
        metadata={"help": "Repeats allowed for each request of a service."},
    )
    repeat_window_seconds: float = field(
        validator=validators.gt(0), metadata={"help": "Time window of the repeat budget, seconds."}
    )
    repeat_burst: float = field(
        validator=validators.ge(0),
        metadata={"help": "Repeats allowed beyond the ratio, by all gateways together."},
    )
    heartbeat_ms: float = field(
        default=1500.0,
        validator=validators.gt(0),
        metadata={"help": "Interval between an endpoint's writes of its entry, ms."},
    )
    speeds: SpeedPriors = field(
        factory=SpeedPriors,
        metadata={"help": "Speeds of engines and services until they are learned."},
    )


def repeat_budget_policy(cfg: FleetSettings, gateways: int) -> RepeatBudgetPolicy:
    """Return the limits of the repeat budget of one of ``gateways`` gateways."""
    shares = max(MIN_BURST_SHARES, BURST_SHARES_PER_GATEWAY * gateways)
    return RepeatBudgetPolicy(
        ratio=cfg.repeat_ratio,
        window_seconds=cfg.repeat_window_seconds,
        burst=cfg.repeat_burst / shares,
    )

"""The voted document: fleet-wide defaults and a short list of exceptions."""

from enum import Enum
from typing import Any

import cattrs
from attrs import evolve, field, frozen, validators

from chivewall.errors import ConfigurationError
from chivewall.work import Rank

SHARES_SUM = 1.0


class LimitName(Enum):
    """Limits that an exception can change."""

    PROMPT_TOKENS = "prompt_tokens"
    OUTPUT_TOKENS = "output_tokens"
    TOKENS_IN_FLIGHT = "tokens_in_flight"
    REQUESTS_IN_FLIGHT = "requests_in_flight"
    WORKSPACE_SHARE = "workspace_share"
    QUEUE_SECONDS = "queue_seconds"


@frozen
class RankPolicy:
    """What one rank is promised."""

    first_token_ms: float = field(validator=validators.gt(0))  # target, milliseconds
    between_tokens_ms: float = field(validator=validators.gt(0))  # target, milliseconds
    worth: float = field(validator=validators.gt(0))  # of one request served within target
    default_deadline_ms: float = field(validator=validators.gt(0))
    share: float = field(validator=[validators.ge(0), validators.le(1)])  # guaranteed


@frozen
class Limits:
    """Fleet-wide defaults."""

    prompt_tokens: float = field(default=131072, validator=validators.gt(0))
    output_tokens: float = field(default=8192, validator=validators.gt(0))
    tokens_in_flight: float = field(default=400000, validator=validators.gt(0))
    requests_in_flight: float = field(default=256, validator=validators.gt(0))
    workspace_share: float = field(
        default=0.5, validator=[validators.gt(0), validators.le(1)]
    )  # most that one workspace may take of a rank's capacity
    queue_seconds: float = field(default=600, validator=validators.gt(0))


@frozen
class LimitOverride:
    """An exception to a default, with the reason that members can contest."""

    id: str = field(validator=validators.min_len(1))
    limit: LimitName
    value: float = field(validator=validators.gt(0))
    reason: str = field(validator=validators.min_len(1))
    author: str = field(validator=validators.min_len(1))
    expires_at: float  # Unix time, seconds
    workspace: str | None = None
    model: str | None = None
    rank: Rank | None = None

    def applies(self, workspace: str, model: str, rank: Rank, unix_time: float) -> bool:
        """Return whether the exception covers such a request at that time."""
        return (
            unix_time < self.expires_at
            and self.workspace in (None, workspace)
            and self.model in (None, model)
            and self.rank in (None, rank)
        )

    @property
    def specificity(self) -> int:
        """Number of fields that narrow the exception; the narrowest one wins."""
        return sum(one is not None for one in (self.workspace, self.model, self.rank))


@frozen
class LimitValue:
    """A limit with its origin, as refusals name it."""

    name: LimitName
    value: float
    source: str
    reason: str
    by_default: bool = True  # False if an exception set it


@frozen
class Configuration:
    """One version of the voted document."""

    version: int
    author: str
    reason: str
    ranks: dict[Rank, RankPolicy]
    limits: Limits = field(factory=Limits)
    exceptions: tuple[LimitOverride, ...] = ()

    def __attrs_post_init__(self) -> None:
        missing = [rank.value for rank in Rank if rank not in self.ranks]
        if missing:
            raise ConfigurationError(f"ranks without a policy: {', '.join(missing)}")
        total = sum(policy.share for policy in self.ranks.values())
        if total > SHARES_SUM:
            raise ConfigurationError(f"shares add up to {total:.2f}; at most 1 is allowed")
        ids = [one.id for one in self.exceptions]
        if len(ids) != len(set(ids)):
            raise ConfigurationError("two exceptions have the same id")

    def limit(
        self, name: LimitName, *, workspace: str, model: str, rank: Rank, unix_time: float
    ) -> LimitValue:
        """Return the limit in force for such a request, with its origin."""
        covering = [
            one
            for one in self.exceptions
            if one.limit is name and one.applies(workspace, model, rank, unix_time)
        ]
        if not covering:
            return LimitValue(
                name=name,
                value=getattr(self.limits, name.value),
                source=f"default {name.value} of version {self.version}",
                reason=self.reason,
            )
        best = max(covering, key=lambda one: (one.specificity, one.id))
        return LimitValue(
            name=name,
            value=best.value,
            source=f"exception {best.id}",
            reason=best.reason,
            by_default=False,
        )

    def successor(self, **changes: Any) -> "Configuration":
        """Return the next version with some fields changed."""
        return evolve(self, version=self.version + 1, **changes)


def default_configuration() -> Configuration:
    """Return the document that an embedded daemon starts with."""
    return Configuration(
        version=1,
        author="chivewall",
        reason="defaults of the first start",
        ranks={
            Rank.URGENT: RankPolicy(
                first_token_ms=340,
                between_tokens_ms=77,
                worth=10,
                default_deadline_ms=30_000,  # a long answer takes more than 10 s
                share=0.5,
            ),
            Rank.STANDARD: RankPolicy(
                first_token_ms=2_000,
                between_tokens_ms=150,
                worth=3,
                default_deadline_ms=60_000,
                share=0.25,
            ),
            Rank.PATIENT: RankPolicy(
                first_token_ms=60_000,
                between_tokens_ms=500,
                worth=1,
                default_deadline_ms=600_000,
                share=0.15,
            ),
        },
    )


def to_document(cfg: Configuration) -> dict[str, Any]:
    """Return the configuration as plain JSON values."""
    return _CONVERTER.unstructure(cfg)


def from_document(document: object) -> Configuration:
    """Check a document; raises ``ConfigurationError`` that names every wrong key."""
    try:
        return _CONVERTER.structure(document, Configuration)
    except (cattrs.BaseValidationError, TypeError, AttributeError) as exc:
        problems = "; ".join(cattrs.transform_error(exc, path="$"))
        raise ConfigurationError(problems) from exc


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)

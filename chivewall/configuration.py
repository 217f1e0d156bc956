"""The configuration document that members vote on: fleet-wide defaults and exceptions."""

from enum import Enum
from typing import Any

import cattrs
from attrs import evolve, field, frozen, validators

from chivewall.errors import ConfigurationError
from chivewall.work import Rank

MAX_TOTAL_SHARE = 1.0  # maximum total of the ranks' guaranteed shares


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
    """Targets, default deadline and guaranteed share of one rank."""

    first_token_ms: float = field(validator=validators.gt(0))  # target for the first token
    between_tokens_ms: float = field(validator=validators.gt(0))  # target between two tokens
    worth: float = field(validator=validators.gt(0))  # value of one request that meets its targets
    default_deadline_ms: float = field(validator=validators.gt(0))
    share: float = field(
        validator=[validators.ge(0), validators.le(1)]
    )  # guaranteed share of an endpoint's capacity


@frozen
class Limits:
    """Fleet-wide default limits, with a field for each ``LimitName``."""

    prompt_tokens: float = field(default=131072, validator=validators.gt(0))
    output_tokens: float = field(default=8192, validator=validators.gt(0))
    tokens_in_flight: float = field(default=400000, validator=validators.gt(0))
    requests_in_flight: float = field(default=256, validator=validators.gt(0))
    workspace_share: float = field(
        default=0.5, validator=[validators.gt(0), validators.le(1)]
    )  # largest share of a rank's capacity that one workspace may use
    queue_seconds: float = field(default=600, validator=validators.gt(0))


@frozen
class LimitOverride:
    """An exception to a default limit, with a reason that members can contest."""

    id: str = field(validator=validators.min_len(1))
    limit: LimitName
    value: float = field(validator=validators.gt(0))
    reason: str = field(validator=validators.min_len(1))
    author: str = field(validator=validators.min_len(1))
    expires_at: float  # Unix time, seconds
    workspace: str | None = None
    model: str | None = None
    rank: Rank | None = None

    def covers(self, workspace: str, model: str, rank: Rank, unix_time: float) -> bool:
        """Return whether the exception covers such a request at a Unix time in seconds."""
        return (
            unix_time < self.expires_at
            and self.workspace in (None, workspace)
            and self.model in (None, model)
            and self.rank in (None, rank)
        )

    @property
    def specificity(self) -> int:
        """Number of fields that restrict the exception; the most specific exception applies."""
        return sum(one is not None for one in (self.workspace, self.model, self.rank))


@frozen
class LimitValue:
    """A limit in force, with the source and reason that refusals show."""

    name: LimitName
    value: float
    source: str  # the default or exception that sets it, in words
    reason: str
    is_default: bool = True  # False if an exception set it


@frozen
class Configuration:
    """One version of the configuration document."""

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
        if total > MAX_TOTAL_SHARE:
            raise ConfigurationError(f"shares add up to {total:.2f}; at most 1 is allowed")
        ids = [one.id for one in self.exceptions]
        if len(ids) != len(set(ids)):
            raise ConfigurationError("two exceptions have the same id")

    def limit(
        self, name: LimitName, *, workspace: str, model: str, rank: Rank, unix_time: float
    ) -> LimitValue:
        """Return the limit in force for such a request."""
        covering = [
            one
            for one in self.exceptions
            if one.limit is name and one.covers(workspace, model, rank, unix_time)
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
            is_default=False,
        )

    def successor(self, **changes: Any) -> "Configuration":
        """Return the next version with some fields changed."""
        return evolve(self, version=self.version + 1, **changes)


def default_configuration() -> Configuration:
    """Return the first version, which an embedded daemon starts with."""
    return Configuration(
        version=1,
        author="chivewall",
        reason="defaults of the first start",
        ranks={
            Rank.URGENT: RankPolicy(
                first_token_ms=340,
                between_tokens_ms=77,
                worth=10,
                default_deadline_ms=30_000,  # a long completion takes more than 10 s
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
    """Return a configuration as plain JSON values."""
    return _CONVERTER.unstructure(cfg)


def from_document(document: object) -> Configuration:
    """Return the configuration of a JSON document.

    Raises ``ConfigurationError`` that names every invalid key.
    """
    try:
        return _CONVERTER.structure(document, Configuration)
    except (cattrs.BaseValidationError, TypeError, AttributeError) as exc:
        problems = "; ".join(cattrs.transform_error(exc, path="$"))
        raise ConfigurationError(problems) from exc


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)

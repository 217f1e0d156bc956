"""State of one request's prefill: not prefilled, KV cache kept by an engine, or fetched."""

from attrs import define

from chivewall.decisions.placement import PromptState
from chivewall.gateway.routing_configuration import EndpointInfo

# Maximum number of prefills that are not counted because they reached no engine; after that
# the decode engine prefills the prompt itself.
MAX_MISSED_PREFILLS = 2
# Maximum number of prefills that reached an engine; the second one counts as an attempt.
MAX_PREFILLS = 2


@define
class PrefillProgress:
    """Counts the prefills of one request and holds the KV cache until it is fetched."""

    sent: int = 0  # prefills sent
    missed: int = 0  # prefills that reached no engine; sending another one costs no repeat
    prefilled_at: float | None = None  # time when a prefill succeeded
    kv_source: EndpointInfo | None = None  # engine that keeps the KV cache
    kv_handle: str | None = None

    @property
    def reached(self) -> int:
        """Return the number of prefills that may have reached an engine."""
        return self.sent - self.missed

    @property
    def kv_data_centre(self) -> str | None:
        """Return the data centre of the engine that keeps the KV cache."""
        return None if self.kv_source is None else self.kv_source.data_centre

    def next_prompt(self, attempts_left: int) -> PromptState:
        """Return how the prompt may be prefilled in the next attempt.

        A second prefill counts as an attempt, and the decoding after it as another one.
        """
        may_prefill_again = self.reached < MAX_PREFILLS and attempts_left >= MAX_PREFILLS
        return (
            PromptState.NOT_PREFILLED
            if self.reached == 0 or may_prefill_again
            else PromptState.PREFILL_AT_DECODER
        )

    def record_missed(self) -> None:
        """Record that the last prefill reached no engine."""
        self.missed = min(MAX_MISSED_PREFILLS, self.missed + 1)

    def record_prefilled(self, source: EndpointInfo, handle: str, now: float) -> None:
        """Record that an engine has prefilled the prompt and keeps its KV cache."""
        self.prefilled_at, self.kv_source, self.kv_handle = now, source, handle

    def release(self) -> tuple[EndpointInfo, str] | None:
        """Forget the KV cache; return its engine and handle, or ``None`` if there is none."""
        kept = None if self.kv_source is None else (self.kv_source, self.kv_handle)
        self.kv_source = self.kv_handle = None
        return kept

"""Where the prompt of one call stands: unread, kept by a prefill engine, or fetched."""

from attrs import define

from chivewall.decisions.placement import PromptState
from chivewall.gateway.catalogue import EndpointInfo

MAX_MISSED = 2  # prefills that reached no engine, after which the decoding one reads
MOST_PREFILLS = 2  # that reached an engine; the second one counts as an attempt


@define
class PromptReading:
    """Counts the prefills of one call and holds the KV cache that waits to be fetched."""

    sent: int = 0  # prefills
    missed: int = 0  # of them, that reached no engine, so another one costs no repeat
    read_at: float | None = None  # when the answer to a prefill came
    kv_source: EndpointInfo | None = None
    kv_handle: str | None = None

    @property
    def reached(self) -> int:
        """Return the prefills that may have reached an engine."""
        return self.sent - self.missed

    @property
    def kv_home(self) -> str | None:
        """Return the data centre of the engine that keeps the KV cache."""
        return None if self.kv_source is None else self.kv_source.data_centre

    def next(self, attempts_left: int) -> PromptState:
        """Return how the prompt may be read now.

        A second prefill counts as an attempt, and the decoding takes another one.
        """
        again = self.reached < MOST_PREFILLS and attempts_left >= MOST_PREFILLS
        return (
            PromptState.NOT_PREFILLED
            if self.reached == 0 or again
            else PromptState.PREFILL_AT_DECODER
        )

    def miss(self) -> None:
        """Note that the last prefill reached no engine."""
        self.missed = min(MAX_MISSED, self.missed + 1)

    def keep(self, source: EndpointInfo, handle: str, now: float) -> None:
        """Note that an engine has read the prompt and keeps its KV cache."""
        self.read_at, self.kv_source, self.kv_handle = now, source, handle

    def release(self) -> tuple[EndpointInfo, str] | None:
        """Give up the KV cache; return the engine and the handle, if there is one."""
        kept = None if self.kv_source is None else (self.kv_source, self.kv_handle)
        self.kv_source = self.kv_handle = None
        return kept

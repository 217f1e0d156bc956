"""Decides from which engine another one fetches the part of a prompt that it doesn't keep.

The load that this answers is long prompts whose shared parts come back more often than one engine
can read them: reading a token again takes an engine more than ten times as long as fetching its
KV cache, and holds up all prompts behind it. A shared part that is kept somewhere is therefore
fetched, so that the prompt can go to the engine with the shortest queue.
"""

from collections.abc import Iterable

from attrs import frozen

from chivewall.decisions.endpoint_record import EndpointRecord, PrefixChain

FETCH_TOKEN_SECONDS = 1e-6  # transfer of one token's KV cache inside a data centre
REMOTE_FETCH_FACTOR = 2.0  # a transfer between data centres takes twice as long
FETCH_SETUP_SECONDS = 0.004  # start of a transfer, however long it is
# A transfer is worth its traffic only if it takes at most this share of the reading that it saves.
MAX_FETCH_SHARE = 0.5


@frozen
class PrefixSource:
    """An engine that keeps the first tokens of a prompt."""

    record: EndpointRecord
    tokens: int  # first tokens of the prompt that it keeps


class PrefixSources:
    """The engine of each data centre that keeps most of a prompt."""

    def __init__(self, chain: PrefixChain, states: Iterable[EndpointRecord], now: float) -> None:
        self._best: dict[str, PrefixSource] = {}
        for one in states:
            found = PrefixSource(one, one.kept_tokens(chain, now))
            place = one.info.data_centre
            if found.tokens and found.tokens > self._tokens(place):
                self._best[place] = found

    def _tokens(self, place: str) -> int:
        return self._best[place].tokens if place in self._best else 0

    def best(self, target: EndpointRecord, cached: int, prompt: int) -> PrefixSource | None:
        """Return the engine from which another one should fetch, or ``None`` if it reads itself.

        ``cached`` and ``prompt`` count the tokens that the other engine keeps, and those of the
        prompt.
        """
        scale = target.service_speeds.current.prefill_scale
        read = target.reference_prefill_seconds(prompt, cached)
        best, least = None, read * scale
        for one in self._best.values():
            if one.record is target or one.tokens <= cached:
                continue
            left = target.reference_prefill_seconds(prompt, one.tokens)
            fetch = fetch_seconds(one.tokens - cached, one.record, target)
            if fetch <= MAX_FETCH_SHARE * (read - left) * scale and left * scale + fetch < least:
                best, least = one, left * scale + fetch
        return best


def fetch_seconds(tokens: int, source: EndpointRecord, target: EndpointRecord) -> float:
    """Return the time in which an engine fetches tokens from another one."""
    remote = source.info.data_centre != target.info.data_centre
    factor = REMOTE_FETCH_FACTOR if remote else 1.0
    return FETCH_SETUP_SECONDS + tokens * FETCH_TOKEN_SECONDS * factor

"""Explains a placement: what is chosen, and why each other endpoint is not.

The choice and all estimates come from ``choose`` itself, so the explanation can't differ from what
a request would get. An endpoint is compared by what would be chosen if it were the only one of its
stage.
"""

import random

from attrs import evolve, frozen

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import (
    Placement,
    PlacementContext,
    PromptState,
    choose,
    usable_endpoints,
)
from chivewall.gateway.http_dialect import RequestFields


@frozen
class Candidate:
    """An endpoint of the service, and why it is chosen or not."""

    endpoint: str
    stage: str
    data_centre: str
    chosen: bool
    reason: str
    slower_seconds: float | None = None  # than the chosen one; ``None``: not compared


@frozen
class PlacementExplanation:
    """The placement of a request that would come now, and the endpoints of its service."""

    found: Placement | Overloaded | None
    candidates: tuple[Candidate, ...]


def explain_choice(
    fields: RequestFields,
    states: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState = PromptState.NOT_PREFILLED,
    full: frozenset[str] = frozenset(),
) -> PlacementExplanation:
    """Return the choice that ``choose`` would make now, with its reasons.

    ``full``: ids of engines that have no memory for the request.

    Example: ``explain_choice(fields, states, context).found``.
    """
    context = evolve(context, excluded=context.excluded | full)
    found = choose(fields, states, _with_same_draws(context), prompt)
    # Where an overloaded service would serve the request, if it had to.
    forced = evolve(context, committed=True)
    placed = isinstance(found, Placement)
    best = found if placed else choose(fields, states, _with_same_draws(forced), prompt)
    usable = usable_endpoints(states, context)
    candidates = []
    for one in sorted(states, key=lambda state: state.info.id):
        if one not in usable:
            reason, slower = _exclusion(one, context, full), None
        elif _is_chosen(one, best):
            reason, slower = "chosen" if placed else "the best one, but too late", 0.0
        else:
            reason, slower = _comparison(fields, one, best, usable, forced, prompt)
        candidates.append(
            Candidate(
                endpoint=one.info.id,
                stage=one.info.stage.value,
                data_centre=one.info.data_centre,
                chosen=placed and _is_chosen(one, found),
                reason=reason + _remarks(one, context),
                slower_seconds=slower,
            )
        )
    return PlacementExplanation(found, tuple(candidates))


def _with_same_draws(context: PlacementContext) -> PlacementContext:
    """Return a context that draws the same numbers without using them up."""
    rng = random.Random()
    rng.setstate(context.rng.getstate())
    return evolve(context, rng=rng)


def _is_chosen(state: EndpointRecord, placement: Placement | None) -> bool:
    return placement is not None and state.info in (placement.endpoint, placement.prefill_engine)


def _exclusion(state: EndpointRecord, context: PlacementContext, full: frozenset[str]) -> str:
    """Return why an endpoint isn't among those that may be chosen."""
    now = context.now
    if state.info.id in full:
        return "no memory for the request beside those that it holds"
    if state.info.id in context.excluded:
        return "excluded: an attempt failed there"
    if state.availability is Availability.LEAVING:
        return "leaving"
    if state.availability is Availability.UNLISTED:
        return "not in the list any more"
    if state.cooldown_until > now:
        return f"cooldown for {state.cooldown_until - now:.2f} s"
    if state.avoid_until > now:
        return f"avoided for {state.avoid_until - now:.2f} s after failed connections"
    return "others are preferred"


def _remarks(state: EndpointRecord, context: PlacementContext) -> str:
    """Return what the endpoint says of itself, which its estimate contains."""
    remarks = []
    if state.paused_until > context.now:
        remarks.append(f"pauses for {state.paused_until - context.now:.2f} s")
    if state.rate_limit is not None:
        wait = state.permit_wait(context.now, context.permit_rank)
        remarks.append(f"limit {state.rate_limit:g}/s, permit expected in {wait:.2f} s")
    share = state.current_failure_share(context.now)
    if share >= 0.01:
        remarks.append(f"failure share {share:.2f}")
    return "".join(f"; {one}" for one in remarks)


def _comparison(
    fields: RequestFields,
    state: EndpointRecord,
    best: Placement,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> tuple[str, float | None]:
    """Return why another endpoint is better, and by how many seconds this one is slower."""
    partners = [
        one for one in usable if one.info.stage is not state.info.stage and _is_chosen(one, best)
    ]
    if state.prefills_first and not partners:
        partners = [one for one in usable if one.info == best.endpoint]
    alone = choose(fields, [state, *partners], _with_same_draws(context), prompt)
    if not isinstance(alone, Placement) or not _is_chosen(state, alone):
        return "a prefill at the decode engine is better", None
    slower = alone.estimate - best.estimate
    if slower > 0:
        return f"slower by {slower:.3f} s", slower
    return f"not slower ({slower:.3f} s), but others or other requests are better served", slower

"""Finds the endpoints that one request may be sent to, and takes repeats from the budget."""

from attrs import define, field

from chivewall.decisions.forwarding import AttemptHistory
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement, PromptState
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.exchange import RequestContext
from chivewall.gateway.fleet_messages import FindPlacement, SpendRepeat
from chivewall.gateway.http_dialect import CallerRequest
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import MS_PER_SECOND, RequestTerms
from chivewall.gateway.routing_configuration import Route


@define(eq=False)
class EndpointSearch:
    """Asks the fleet for placements that the attempts of the request so far allow."""

    context: RequestContext
    request: CallerRequest
    route: Route
    service: str
    terms: RequestTerms
    history: AttemptHistory
    prefill: PrefillProgress
    permits: RequestPermits
    response: CallerResponse
    failed_endpoints: set[str]  # ids of endpoints that failed to serve the request
    prefill_repeat_spent: bool = False  # the repeat of a further prefill was taken from the budget
    _repeat_spent: bool = field(default=False, init=False)  # the same for the next attempt

    @property
    def committed(self) -> bool:
        """Return whether the request can no longer be refused truthfully."""
        return self.response.started or self.history.may_have_run

    def allowed_endpoints(self) -> frozenset[str] | None:
        """Return the endpoints that may get the request, or ``None`` for every endpoint."""
        tried = self.history.tried_endpoints
        return frozenset(tried) if len(tried) >= self.route.attempts else None

    def has_endpoint_left(self) -> bool:
        """Return whether another endpoint, or one that didn't fail, may get the request."""
        return len(self.history.tried_endpoints) < self.route.attempts or bool(
            self.history.tried_endpoints - self.failed_endpoints
        )

    async def find(
        self,
        prompt: PromptState,
        *,
        excluded: frozenset[str] | None = None,
        last_resort: bool = True,
        spare: bool = False,
    ) -> Placement | Overloaded | None:
        """Return where the request may be sent, or why it may not."""
        allowed = self.allowed_endpoints()
        if excluded is None:
            excluded = frozenset(
                self.failed_endpoints - self.history.tried_endpoints
                if allowed
                else self.failed_endpoints
            )
        return await self.context.fleet.query(
            FindPlacement(
                service=self.service,
                fields=self.request.fields,
                excluded=excluded,
                allowed=allowed,
                prompt=prompt,
                rank=self.terms.rank,
                slack_seconds=self.terms.slack_seconds(),
                time_left_seconds=self.terms.seconds_to_answer(),
                committed=self.committed,
                pause_seconds=self.route.pause_ms / MS_PER_SECOND,
                kv_data_centre=self.prefill.kv_data_centre,
                last_resort=last_resort,
                spare=spare,
                permits=self.permits.endpoints,
                workspace=self.terms.workspace_name,
            )
        )

    async def find_next(self) -> Placement | Overloaded | None:
        """Return where the request or its prefill is sent next; a second prefill is a repeat."""
        prefilled_before = self.prefill.reached > 0
        attempts_left = self.route.attempts - len(self.history.tried_endpoints)
        placement = await self.find(self.prefill.next_prompt(attempts_left))
        prefill_again = (
            prefilled_before
            and isinstance(placement, Placement)
            and placement.prefill_engine is not None
        )
        if prefill_again and not self.prefill_repeat_spent:
            self.prefill_repeat_spent = await self.context.fleet.query(SpendRepeat(self.service))
            if not self.prefill_repeat_spent:
                placement = await self.find(PromptState.PREFILL_AT_DECODER)
        return placement

    async def find_spare(self, excluded: frozenset[str]) -> Placement | None:
        """Return an endpoint with room for an extra attempt."""
        found = await self.find(
            PromptState.NOT_PREFILLED, excluded=excluded, last_resort=False, spare=True
        )
        return found if isinstance(found, Placement) else None

    async def reserve_successor(self, endpoint: str, *, repeat: bool) -> bool:
        """Return whether another sound endpoint can take over from an endpoint.

        ``repeat``: it would be a repeat, which is taken from the budget then.
        """
        found = await self.find(
            PromptState.PREFILL_AT_DECODER,
            excluded=frozenset({*self.failed_endpoints, endpoint}),
            last_resort=False,
        )
        if not isinstance(found, Placement):
            return False
        if repeat and not self._repeat_spent:
            self._repeat_spent = await self.context.fleet.query(SpendRepeat(self.service))
            return self._repeat_spent
        return True

    async def may_attempt(self, *, repeat: bool) -> bool:
        """Return whether the budget allows the next attempt, which may be a repeat."""
        repeat_spent, self._repeat_spent = self._repeat_spent, False
        if not repeat or repeat_spent:
            return True
        return await self.context.fleet.query(SpendRepeat(self.service))

"""The waits of one request: for an endpoint, for the end of a pause, for another one's trial."""

from attrs import define

from chivewall.backoff import exponential_delay
from chivewall.environment import Environment
from chivewall.gateway.endpoint_search import EndpointSearch
from chivewall.gateway.exchange import RequestContext, WaitEnded
from chivewall.gateway.fleet_messages import AwaitEndpoint
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.request_timers import RequestTimers
from chivewall.messages import Tick
from chivewall.task import Inbox

TRIAL_CHECK_SECONDS = 0.1  # interval between checks for the outcome of another request's trial
# Shortest delay of a request that waits for an endpoint, doubled with each further wait. Endpoints
# that are usable again get their waiting requests one after the other.
WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 0.8
# Time over which the requests that wait for the end of a pause are spread.
PAUSE_SPREAD_SECONDS = 0.5


@define(eq=False)
class RequestWaits:
    """Lets the request's task take a step again when what it waits for may have come."""

    context: RequestContext
    service: str
    terms: RequestTerms
    timers: RequestTimers
    log: RequestLog
    permits: RequestPermits
    search: EndpointSearch
    inbox: Inbox  # of the request's task
    count: int = 0  # times that it had to wait for an endpoint

    @property
    def _env(self) -> Environment:
        return self.context.env

    def begin(self, reason: str) -> float:
        """Begin to wait for an endpoint, and return the time before which no step is taken."""
        self.search.failed_endpoints.clear()
        self.permits.denied = 0
        not_before = self._env.now + exponential_delay(WAIT_SECONDS, MAX_WAIT_SECONDS, self.count)
        self.count += 1
        self.log.log_waiting(reason, self.terms.seconds_to_answer())
        return not_before

    async def await_endpoint(self, step: str, not_before: float) -> None:
        """Send ``WaitEnded`` once an endpoint can answer the request, or none ever will."""
        found = await self.context.fleet.query(
            AwaitEndpoint(self.service, self.search.allowed_endpoints())
        )
        self.inbox.put(WaitEnded(step, not_before, endpoint_left=found))

    def await_trial(self, step: str) -> None:
        """Take a step again when another request's trial of the prompt's parts may have ended."""
        self.timers.schedule(TRIAL_CHECK_SECONDS, Tick(step))

    def await_pause(self, step: str, not_before: float) -> bool:
        """Take a step again after a pause; return false if the request can't wait that long.

        The requests that wait are spread, so that they don't arrive at the same moment.
        """
        at = not_before + self._env.random.uniform(0, PAUSE_SPREAD_SECONDS)
        if at >= self.terms.response_deadline:
            return False
        self.log.log_paused(at - self._env.now)
        self.timers.schedule(at - self._env.now, Tick(step))
        return True

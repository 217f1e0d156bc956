"""The stages of one request, in the order of its path, and what they share."""

from attrs import frozen

from chivewall.decisions.forwarding import AttemptHistory
from chivewall.gateway.attempt_judge import AttemptJudge
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.endpoint_search import EndpointSearch
from chivewall.gateway.exchange import RequestContext
from chivewall.gateway.extra_attempt import ExtraAttempt
from chivewall.gateway.guarded_prompt import GuardedPrompt
from chivewall.gateway.next_attempt import NextAttempt
from chivewall.gateway.part_guard import part_keys
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.received_response import ReceivedResponse
from chivewall.gateway.request_ending import RequestEnding
from chivewall.gateway.request_exchanges import RequestExchanges
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.request_timers import RequestTimers
from chivewall.gateway.request_waits import RequestWaits
from chivewall.gateway.response_receiver import ResponseReceiver
from chivewall.task import Inbox


@frozen
class RequestStages:
    """The parts of one request's task that the task itself calls."""

    timers: RequestTimers
    history: AttemptHistory
    received: ReceivedResponse
    prefill: PrefillProgress
    prompt: GuardedPrompt
    permits: RequestPermits
    extra: ExtraAttempt
    exchanges: RequestExchanges
    receiver: ResponseReceiver
    search: EndpointSearch
    judge: AttemptJudge
    ending: RequestEnding
    next_attempt: NextAttempt


def make_request_stages(
    context: RequestContext,
    terms: RequestTerms,
    response: CallerResponse,
    inbox: Inbox,
) -> RequestStages:
    """Return the stages of a request; ``inbox``: of its task."""
    request = terms.request
    timers = RequestTimers(context.env, inbox)
    log = RequestLog(context.env, request, terms.route)
    history = AttemptHistory()
    received = ReceivedResponse(context.response_bytes)
    failed_endpoints: set[str] = set()  # ids of endpoints that failed to serve it
    prefill = PrefillProgress()
    prompt = GuardedPrompt(
        guard=context.guard,
        keys=part_keys(terms.service, request.fields),
        sender=inbox,
        request_id=request.fields.request_id,
    )
    permits = RequestPermits(
        env=context.env,
        limits=context.limits,
        request_id=request.fields.request_id,
        sender=inbox,
    )
    extra = ExtraAttempt(
        context=context,
        request=request,
        route=terms.route,
        service=terms.service,
        log=log,
        history=history,
        failed_endpoints=failed_endpoints,
        sender=inbox,
    )
    exchanges = RequestExchanges(
        context=context,
        request=request,
        route=terms.route,
        terms=terms,
        log=log,
        history=history,
        prefill=prefill,
        permits=permits,
        extra=extra,
        stream=response.stream,
        inbox=inbox,
    )
    receiver = ResponseReceiver(
        context=context,
        route=terms.route,
        terms=terms,
        timers=timers,
        exchanges=exchanges,
        prompt=prompt,
        response=response,
        received=received,
    )
    search = EndpointSearch(
        context=context,
        request=request,
        route=terms.route,
        service=terms.service,
        terms=terms,
        history=history,
        prefill=prefill,
        permits=permits,
        response=response,
        failed_endpoints=failed_endpoints,
    )
    waits = RequestWaits(
        context=context,
        service=terms.service,
        terms=terms,
        timers=timers,
        log=log,
        permits=permits,
        search=search,
        inbox=inbox,
    )
    judge = AttemptJudge(
        context=context,
        route=terms.route,
        terms=terms,
        log=log,
        history=history,
        prefill=prefill,
        prompt=prompt,
        extra=extra,
        exchanges=exchanges,
        receiver=receiver,
        search=search,
        inbox=inbox,
    )
    ending = RequestEnding(
        context=context,
        terms=terms,
        log=log,
        history=history,
        prefill=prefill,
        prompt=prompt,
        permits=permits,
        extra=extra,
        response=response,
        received=received,
        exchanges=exchanges,
        receiver=receiver,
        judge=judge,
        inbox=inbox,
    )
    next_attempt = NextAttempt(
        context=context,
        terms=terms,
        prefill=prefill,
        prompt=prompt,
        permits=permits,
        exchanges=exchanges,
        receiver=receiver,
        search=search,
        waits=waits,
        judge=judge,
        ending=ending,
    )
    return RequestStages(
        timers=timers,
        history=history,
        received=received,
        prefill=prefill,
        prompt=prompt,
        permits=permits,
        extra=extra,
        exchanges=exchanges,
        receiver=receiver,
        search=search,
        judge=judge,
        ending=ending,
        next_attempt=next_attempt,
    )

"""What a choice of endpoints is made of: the request's circumstances, and the placement."""

import math
import random
from enum import Enum

from attrs import frozen

from chivewall.gateway.rate_limit_messages import PermitNeed
from chivewall.gateway.routing_configuration import EndpointInfo


@frozen
class Placement:
    """The endpoints chosen for one attempt."""

    endpoint: EndpointInfo
    prefill_engine: EndpointInfo | None  # if set, prefills first and hands its KV cache over
    estimate: float  # seconds to the first event or the response
    uncached_tokens: int  # prompt tokens to prefill
    reason: str
    reference_seconds: float = 0.0  # prefill time of these tokens at the reference speed
    prefix_source: EndpointInfo | None = None  # engine from which the prompt's start is fetched
    decode_backlog_seconds: float = 0.0  # seconds of prefill that then wait at a decode engine
    rank: int = 0  # rank to send it with
    needs: tuple[PermitNeed, ...] = ()  # permits to acquire before it is sent
    not_before: float = -math.inf  # when the last pause of these endpoints ends
    yields: bool = False  # it goes late, since its workspace is over its fair share


@frozen
class PlacementContext:
    """Circumstances of a choice: place, time and state of the request."""

    data_centre: str  # data centre of the gateway
    now: float
    rng: random.Random
    excluded: frozenset[str] = frozenset()  # ids of endpoints that must not get the request
    rank: int = 0  # of the request's route; 0 is the most urgent
    slack_seconds: float = math.inf  # seconds left to the route's objective
    time_left_seconds: float = math.inf  # seconds left to the request's deadline
    committed: bool = False  # it may have run, or a part of its response was sent
    pause_seconds: float = 0.3  # longest pause between events that the route's objective allows
    kv_data_centre: str | None = None  # data centre of the engine that keeps the KV cache
    last_resort: bool = True  # endpoints that had better get no work are chosen as a last resort
    permits: frozenset[str] = frozenset()  # ids of endpoints for which the request has a permit
    # Rank of its asks for permits. A late request doesn't yield here: unlike the time of an engine,
    # a permit costs the others the same whether the request is late or not.
    permit_rank: int = 0
    # How many times a queue counts for it: more than once if its workspace is over its share.
    queue_weight: float = 1.0


class PromptState(Enum):
    """Where the prompt of a request is, or has to be, prefilled."""

    NOT_PREFILLED = "not prefilled"  # a prefill engine may prefill it first
    PREFILLED = "prefilled"  # an engine keeps its KV cache until it is fetched
    PREFILL_AT_DECODER = "prefill at decoder"  # the decode engine has to prefill it

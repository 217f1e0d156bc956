"""CPU time of a gateway's choice of engines, by the size of the fleet."""

import random
import statistics
import time

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.placement import Placement, PlacementContext, choose
from chivewall.decisions.sent_work import WorkItem
from chivewall.gateway.http_dialect import PromptPart, RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

ENGINES = (4, 16, 20, 60, 120, 300, 600)
DATA_CENTRES = 7
PREFILL_SHARE = 1 / 3  # of the engines
REQUESTS_PER_ENGINE = 20
ROUNDS = 7
CHOICES_PER_ROUND = 10
NOW = 100.0
PROMPT = RequestFields(
    prompt_tokens=15_000,
    prompt_parts=(PromptPart("aa", 12_000), PromptPart("bb", 3_000)),
)


def placement_seconds() -> dict[int, float]:
    """Return the median CPU time of a choice in seconds by the number of engines."""
    context = PlacementContext(
        data_centre="place-0", now=NOW, rng=random.Random(1), slack_seconds=0.8
    )
    return {count: _choice_seconds(_engines(count), context) for count in ENGINES}


def _choice_seconds(engines: list[EndpointRecord], context: PlacementContext) -> float:
    return statistics.median(_round_seconds(engines, context) for _ in range(ROUNDS))


def _round_seconds(engines: list[EndpointRecord], context: PlacementContext) -> float:
    started = time.process_time()
    for _ in range(CHOICES_PER_ROUND):
        if not isinstance(choose(PROMPT, engines, context), Placement):
            raise TypeError("no engine was chosen, so the time can't be measured")
    return (time.process_time() - started) / CHOICES_PER_ROUND


def _engines(count: int) -> list[EndpointRecord]:
    engines = [EndpointRecord(_info(number, count)) for number in range(count)]
    for engine in engines:
        for number in range(REQUESTS_PER_ENGINE):
            item = WorkItem(0.02 * (number % 3), rank=number % 3, expires_at=NOW + 60)
            engine.add_work(("", number), item, NOW)
    return engines


def _info(number: int, count: int) -> EndpointInfo:
    return EndpointInfo(
        id=f"engine-{number}",
        service="engines",
        ip="10.0.0.1",
        port=80,
        data_centre=f"place-{number % DATA_CENTRES}",
        slots=64,
        draining=False,
        stage=Stage.PREFILL if number < PREFILL_SHARE * count else Stage.DECODE,
    )

"""Starts a gateway, unmodified (``whole``) or with a fault that violates one guarantee.

The variants show that each check of the soak test can fail: each variant must be detected.
``python -m soak.variants NAME SETTINGS`` runs one process.
"""

import os
import sys
import threading
from collections.abc import Callable
from itertools import count

from chivewall import daemon
from chivewall.decisions import forwarding, placement
from chivewall.gateway import caller_answer, forwarded_call, gateway

VARIANTS: dict[str, Callable[[], None]] = {"whole": lambda: None}
MEGABYTE = 1024 * 1024  # bytes


def variant(function: Callable[[], None]) -> Callable[[], None]:
    """Register a faulty variant under the name of the check that must detect it."""
    VARIANTS[function.__name__] = function
    return function


@variant
def at_most_once() -> None:
    """Retry every failed request, also one that may have run."""
    forwarding.may_retry = lambda failed, history: (
        history.failed_attempts < forwarding.MAX_FAILED_ATTEMPTS
    )
    forwarded_call.ForwardedCall._endpoint_left = lambda self: True
    forwarded_call.ForwardedCall._ask_placement = _query_any_placement


async def _query_any_placement(
    call: forwarded_call.ForwardedCall, prompt: placement.PromptState
) -> object:
    return await call.context.fleet.ask(
        forwarded_call.Place(
            service=call.service,
            fields=call.call.fields,
            excluded=frozenset(),
            allowed=None,
            prompt=prompt,
        )
    )


@variant
def true_refusals() -> None:
    """Report every failed request as not run."""
    forwarded_call.final_step = lambda failed, history: (
        forwarding.NextStep.CLOSE_CONNECTION
        if failed.response_started
        else forwarding.NextStep.REFUSE
    )


@variant
def whole_answers() -> None:
    """Drop the last byte of every response."""
    send = caller_answer.CallerAnswer.send_whole
    caller_answer.CallerAnswer.send_whole = lambda self, head, body: send(self, head, body[:-1])


@variant
def leaving_is_kept() -> None:
    """Choose draining endpoints as well."""
    placement._usable = lambda states, context: states


@variant
def changes_in_force() -> None:
    """Ignore all routing configurations after the first."""
    take = gateway.Gateway._take_items

    def take_first(self: gateway.Gateway, items: tuple) -> None:
        if self.table is None:
            take(self, items)

    gateway.Gateway._take_items = take_first


@variant
def changes_stay() -> None:
    """Use the first routing configuration for every third request."""
    accept = gateway.Gateway.accept
    first: list = []
    calls = count()

    def accept_with_first_table(self: gateway.Gateway, call: object, sink: object) -> object:
        newest = self.table
        if newest is not None:
            first[:] = first or [newest]
            self.table = first[0] if next(calls) % 3 == 0 else newest
        answer = accept(self, call, sink)
        self.table = newest
        return answer

    gateway.Gateway.accept = accept_with_first_table


@variant
def in_time() -> None:
    """Allow the final response to come long after the timeout."""
    forwarded_call.ANSWER_MARGIN = -6.0


@variant
def graceful_shutdown() -> None:
    """Exit immediately on SIGTERM."""
    daemon.Daemon._on_signal = lambda self, number, frame: os._exit(0)


@variant
def no_own_exit() -> None:
    """Exit after 6 seconds without a signal."""
    threading.Timer(6.0, os._exit, (3,)).start()


@variant
def bounded() -> None:
    """Keep a megabyte of memory for each request."""
    accept = gateway.Gateway.accept
    leaked: list[bytes] = []

    def accept_and_leak(self: gateway.Gateway, call: object, sink: object) -> object:
        leaked.append(b"x" * MEGABYTE)
        return accept(self, call, sink)

    gateway.Gateway.accept = accept_and_leak


if __name__ == "__main__":
    name, settings = sys.argv[1:]
    VARIANTS[name]()
    daemon.main([settings])

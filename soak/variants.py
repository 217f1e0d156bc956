"""Starts a gateway, whole or with one promise broken on purpose.

A soak that finds nothing shows little unless each of its checks can fail: every variant
must be caught. ``python -m soak.variants NAME SETTINGS`` runs one process.
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
MEGABYTE = 1024 * 1024


def variant(function: Callable[[], None]) -> Callable[[], None]:
    """Register a broken variant under the name of the check that must catch it."""
    VARIANTS[function.__name__] = function
    return function


@variant
def at_most_once() -> None:
    """Repeat whatever fails."""
    forwarding.may_retry = lambda failed, history: (
        history.failed_attempts < forwarding.MAX_FAILED_ATTEMPTS
    )
    forwarded_call.ForwardedCall._endpoint_left = lambda self: True
    forwarded_call.ForwardedCall._ask_placement = _ask_anywhere


async def _ask_anywhere(
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
    """Say of every failure that the call has not run."""
    forwarded_call.final_step = lambda failed, history: (
        forwarding.NextStep.CLOSE_CONNECTION
        if failed.response_started
        else forwarding.NextStep.REFUSE
    )


@variant
def whole_answers() -> None:
    """Lose the end of every answer."""
    send = caller_answer.CallerAnswer.send_whole
    caller_answer.CallerAnswer.send_whole = lambda self, head, body: send(self, head, body[:-1])


@variant
def leaving_is_kept() -> None:
    """Use back ends that are leaving."""
    placement._usable = lambda states, context: states


@variant
def changes_in_force() -> None:
    """Keep the first routes."""
    take = gateway.Gateway._take_items

    def once(self: gateway.Gateway, items: tuple) -> None:
        if self.table is None:
            take(self, items)

    gateway.Gateway._take_items = once


@variant
def changes_stay() -> None:
    """Go back to the first routes now and then."""
    accept = gateway.Gateway.accept
    first: list = []
    calls = count()

    def waver(self: gateway.Gateway, call: object, sink: object) -> object:
        newest = self.table
        if newest is not None:
            first[:] = first or [newest]
            self.table = first[0] if next(calls) % 3 == 0 else newest
        answer = accept(self, call, sink)
        self.table = newest
        return answer

    gateway.Gateway.accept = waver


@variant
def in_time() -> None:
    """Answer long after the time-out."""
    forwarded_call.ANSWER_MARGIN = -6.0


@variant
def graceful_shutdown() -> None:
    """End at once at SIGTERM."""
    daemon.Daemon._on_signal = lambda self, number, frame: os._exit(0)


@variant
def no_own_exit() -> None:
    """End by itself after some seconds."""
    threading.Timer(6.0, os._exit, (3,)).start()


@variant
def bounded() -> None:
    """Keep something of each call."""
    accept = gateway.Gateway.accept
    kept: list[bytes] = []

    def keep(self: gateway.Gateway, call: object, sink: object) -> object:
        kept.append(b"x" * MEGABYTE)
        return accept(self, call, sink)

    gateway.Gateway.accept = keep


if __name__ == "__main__":
    name, settings = sys.argv[1:]
    VARIANTS[name]()
    daemon.main([settings])

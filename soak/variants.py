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
from chivewall.gateway import (
    attempt_judge,
    caller_response,
    endpoint_search,
    gateway,
    request_terms,
)

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
    endpoint_search.EndpointSearch.has_endpoint_left = lambda self: True
    endpoint_search.EndpointSearch.find = _query_any_placement


async def _query_any_placement(
    search: endpoint_search.EndpointSearch,
    prompt: placement.PromptState,
    **_: object,
) -> object:
    return await search.context.fleet.query(
        endpoint_search.FindPlacement(
            service=search.service,
            fields=search.request.fields,
            excluded=frozenset(),
            allowed=None,
            prompt=prompt,
        )
    )


@variant
def true_refusals() -> None:
    """Report every failed request as not run."""
    attempt_judge.final_step = lambda failed, history: (
        forwarding.NextStep.CLOSE_CONNECTION
        if failed.response_started
        else forwarding.NextStep.REFUSE
    )


@variant
def whole_answers() -> None:
    """Drop the last byte of every response."""
    send = caller_response.CallerResponse.send_response
    caller_response.CallerResponse.send_response = lambda self, head, body: send(
        self, head, body[:-1]
    )


@variant
def leaving_is_kept() -> None:
    """Choose draining endpoints as well."""
    placement._usable = lambda states, context: states


@variant
def changes_in_force() -> None:
    """Ignore all routing configurations after the first."""
    take = gateway.Gateway._apply_items

    def take_first(self: gateway.Gateway, items: tuple) -> None:
        if self.table is None:
            take(self, items)

    gateway.Gateway._apply_items = take_first


@variant
def changes_stay() -> None:
    """Use the first routing configuration for every third request."""
    accept = gateway.Gateway.accept
    first: list = []
    calls = count()

    def accept_with_first_table(
        self: gateway.Gateway, request: object, connection: object
    ) -> object:
        newest = self.table
        if newest is not None:
            first[:] = first or [newest]
            self.table = first[0] if next(calls) % 3 == 0 else newest
        inbox = accept(self, request, connection)
        self.table = newest
        return inbox

    gateway.Gateway.accept = accept_with_first_table


@variant
def in_time() -> None:
    """Allow the final response to come long after the timeout."""
    request_terms.RESPONSE_MARGIN_SECONDS = -6.0


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

    def accept_and_leak(self: gateway.Gateway, request: object, connection: object) -> object:
        leaked.append(b"x" * MEGABYTE)
        return accept(self, request, connection)

    gateway.Gateway.accept = accept_and_leak


if __name__ == "__main__":
    name, settings = sys.argv[1:]
    VARIANTS[name]()
    daemon.main([settings])

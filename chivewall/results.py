"""Numbered result codes that callers and operators see."""

from enum import Enum


class RunState(Enum):
    """Whether the endpoint ran the work of a request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(Enum):
    """A result: number, HTTP status, default run state and advice.

    The table in ``docs/results.md`` is generated from these members.
    """

    # Invalid requests.
    BAD_JSON = (1001, 400, RunState.NO, "Send a valid JSON body for this path.")
    BODY_TOO_LARGE = (1002, 413, RunState.NO, "Send a smaller body.")
    UNKNOWN_MODEL = (1003, 404, RunState.NO, "Choose a model from GET /v1/models.")
    UNKNOWN_SERVICE = (1004, 404, RunState.NO, "Check the service name in the path.")
    UNKNOWN_RANK = (1005, 400, RunState.NO, "Use one of the configured ranks in X-Rank.")
    DEADLINE_PASSED = (1006, 408, RunState.NO, "Send the request again with a later deadline.")
    BAD_HEADER = (1007, 400, RunState.NO, "Correct the named header.")
    UNAUTHENTICATED = (1008, 401, RunState.NO, "Send a valid token in the Authorization header.")
    KEY_REUSED = (1009, 422, RunState.NO, "Use a new Idempotency-Key for a different request.")
    NOT_FOUND = (1010, 404, RunState.NO, "Check the path.")
    METHOD_NOT_ALLOWED = (1011, 405, RunState.NO, "Use a method that the path supports.")

    HEAD_TOO_LARGE = (1012, 431, RunState.NO, "Send smaller headers.")
    UNKNOWN_KEY = (1013, 401, RunState.NO, "Send one valid key of your workspace.")

    # Refusals: the work was not run.
    OVER_LIMIT = (2001, 429, RunState.NO, "Wait for Retry-After, or contest the named limit.")
    HOPELESS = (2002, 503, RunState.NO, "Wait for Retry-After or allow a later deadline.")
    QUEUE_FULL = (2003, 503, RunState.NO, "Wait for Retry-After.")
    DRAINING = (2004, 503, RunState.NO, "Send the request again; another endpoint will serve it.")
    NO_ENDPOINT = (2005, 503, RunState.NO, "Wait for Retry-After; no endpoint is available.")
    NOT_READY = (2006, 503, RunState.NO, "Wait until /readyz answers 200.")
    CLAIM_UNAVAILABLE = (2007, 503, RunState.NO, "Send it again with the same Idempotency-Key.")
    STALE_INCARNATION = (2008, 503, RunState.NO, "Internal: the agent was replaced.")
    DUPLICATE_ATTEMPT = (2009, 409, RunState.UNKNOWN, "Internal: the attempt arrived twice.")
    RETRIES_SPENT = (2010, 503, RunState.NO, "Wait for Retry-After; the retry budget is spent.")
    TARGET_MISSED = (
        2012,
        503,
        RunState.NO,
        "Wait for Retry-After; no endpoint meets the target.",
    )
    PROMPT_PART_BLOCKED = (
        2013,
        503,
        RunState.NO,
        "Wait for Retry-After; a part of the prompt crashed engines.",
    )
    KEY_UNDECIDED = (
        2014,
        503,
        RunState.NO,
        "Wait for Retry-After; the gateway may not know the newest keys.",
    )
    SHED = (2011, 503, RunState.NO, "Wait for Retry-After; the queue was backed up for too long.")

    # Work that was or may have been started.
    OUTCOME_UNKNOWN = (
        3001,
        504,
        RunState.UNKNOWN,
        "Repeat with the same Idempotency-Key to get the outcome.",
    )
    ENDPOINT_FAILED = (3002, 502, RunState.UNKNOWN, "Send an idempotent request again.")
    CANCELLED = (3003, 499, RunState.UNKNOWN, "The caller closed the connection.")
    DEADLINE_MISSED = (3004, 504, RunState.UNKNOWN, "Allow a later deadline.")
    IN_PROGRESS = (3005, 409, RunState.UNKNOWN, "Repeat later with the same Idempotency-Key.")

    OUTCOME_LOST = (3007, 504, RunState.UNKNOWN, "Check with the service before using a new key.")
    INTERNAL_ERROR = (3006, 500, RunState.UNKNOWN, "Report the request id with the log.")

    # Results of the operator API.
    CONFLICT = (4001, 409, RunState.NO, "Read the current version, merge and apply again.")
    INVALID_CONFIGURATION = (4002, 422, RunState.NO, "Correct the named keys.")
    PLATFORM_UNAVAILABLE = (
        4003,
        503,
        RunState.UNKNOWN,
        "Try again once the object API is up.",
    )
    UNKNOWN_REQUEST = (4004, 404, RunState.NO, "Ask the entry that served the request.")
    UNKNOWN_EXCEPTION = (4005, 404, RunState.NO, "Choose an id from the list of exceptions.")

    # Start of a process.
    INVALID_SETTINGS = (5001, 500, RunState.NO, "Correct the settings file.")
    UNKNOWN_PLUGIN = (5002, 500, RunState.NO, "Check the plug-in name in the settings.")

    def __init__(self, number: int, http_status: int, run: RunState, advice: str) -> None:
        self.number = number
        self.http_status = http_status
        self.run = run
        self.advice = advice

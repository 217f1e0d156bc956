"""Exceptions of chivewall; each has the result code that a caller sees."""

from chivewall.results import ResultCode, RunState


class ChivewallError(Exception):
    """Base class of all errors that chivewall raises itself."""

    code = ResultCode.ENDPOINT_FAILED


class SettingsError(ChivewallError):
    """The settings file is invalid; the message lists every problem found."""

    code = ResultCode.INVALID_SETTINGS


class PluginError(ChivewallError):
    """A plug-in that the settings name can't be loaded."""

    code = ResultCode.UNKNOWN_PLUGIN


class RequestError(ChivewallError):
    """A caller's request is refused before it reaches an endpoint."""

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.run = RunState.NO


class ConfigurationError(ChivewallError):
    """A configuration document is not valid."""

    code = ResultCode.INVALID_CONFIGURATION


class PlanError(ChivewallError):
    """A plan object can't be decoded; its orders are not carried out."""

    code = ResultCode.INVALID_CONFIGURATION


class DecodeError(ChivewallError):
    """A document from the platform can't be decoded; the message names the field."""

    code = ResultCode.INVALID_CONFIGURATION


class StoreError(ChivewallError):
    """Base class of errors of the object API."""

    code = ResultCode.PLATFORM_UNAVAILABLE
    era: int | None = None  # era of the store that the error response named


class StoreUnavailableError(StoreError):
    """The object API gave no response; a write may or may not have taken effect."""


class ChangeUnknownError(StoreUnavailableError):
    """A configuration change may or may not have been accepted."""


class StoreThrottledError(StoreError):
    """The object API rejected the request because of its rate limit; nothing was written."""


class HistoryLostError(StoreError):
    """The object API no longer has the changes since a revision; list the objects again."""


class StoreRestoredError(StoreUnavailableError):
    """The object API was restored from a copy while several of its answers were read."""


class ObjectMissingError(StoreError):
    """The object does not exist."""


class VersionConflictError(StoreError):
    """The object does not have the version that a conditional write expected."""

    code = ResultCode.CONFLICT


class ObjectTooLargeError(StoreError):
    """The value is larger than the object API accepts."""

    code = ResultCode.BODY_TOO_LARGE


class EndpointError(ChivewallError):
    """The endpoint failed; it may have been running the work."""


class EventTooLargeError(EndpointError):
    """An event of an endpoint's stream is larger than the limit."""


class UnexpectedEventError(EndpointError):
    """An endpoint's stream doesn't continue the one that another run has begun."""


class EndpointUnreachableError(EndpointError):
    """No connection to the endpoint could be opened, so it can't have run the work."""

    code = ResultCode.NO_ENDPOINT


class OrderRefusedError(EndpointError):
    """The endpoint refused an order, for example because of an old fencing number."""


class LinkBrokenError(ChivewallError):
    """The link to an agent broke or timed out."""

    code = ResultCode.OUTCOME_UNKNOWN


class PlatformUnavailableError(ChivewallError):
    """The platform didn't answer a call, which it may have accepted."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class DutyRefusedError(ChivewallError):
    """The platform didn't accept a call that is the duty of one gateway at a time."""

    code = ResultCode.PLATFORM_UNAVAILABLE

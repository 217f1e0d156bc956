"""Exception tree; every error names the result code that a caller sees."""

from chivewall.results import ResultCode, RunState


class ChivewallError(Exception):
    """Base of all errors raised on purpose by chivewall."""

    code = ResultCode.ENDPOINT_FAILED


class SettingsError(ChivewallError):
    """The settings file is wrong; the message lists every problem found."""

    code = ResultCode.INVALID_SETTINGS


class PluginError(ChivewallError):
    """A plug-in named in the settings can't be loaded."""

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
    """A plan object can't be read; its orders are not followed."""

    code = ResultCode.INVALID_CONFIGURATION


class DecodeError(ChivewallError):
    """A document of the platform can't be read; the message names the field."""

    code = ResultCode.INVALID_CONFIGURATION


class StoreError(ChivewallError):
    """Base of errors of the object API."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """No answer; a write may or may not have taken effect."""


class ChangeUnknownError(StoreUnavailableError):
    """A configuration change may or may not have been accepted."""


class StoreThrottledError(StoreError):
    """The object API refused the call because of its rate; nothing was written."""


class HistoryLostError(StoreError):
    """The store no longer has the changes since a revision; a list is needed."""


class ObjectMissingError(StoreError):
    """The object does not exist."""


class VersionConflictError(StoreError):
    """The object has another version than the conditional write expected."""

    code = ResultCode.CONFLICT


class ObjectTooLargeError(StoreError):
    """The value is larger than the object API takes."""

    code = ResultCode.BODY_TOO_LARGE


class EndpointError(ChivewallError):
    """The endpoint failed while it may have been running the work."""


class EndpointUnreachableError(EndpointError):
    """No connection to the endpoint was made, so it can't have run the work."""

    code = ResultCode.NO_ENDPOINT


class OrderRefusedError(EndpointError):
    """The endpoint refused an order, for example for an old fencing number."""


class LinkBrokenError(ChivewallError):
    """The connection to an agent broke or went silent."""

    code = ResultCode.OUTCOME_UNKNOWN

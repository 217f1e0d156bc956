"""HTTP client for the operator API of an entry; maps every failure to an exit status."""

import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import IO, Any

import treq
from attrs import frozen
from click import Abort, ClickException, echo, get_current_context
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater, react

from chivewall.exits import ExitStatus

CALL_TIMEOUT_SECONDS = 10.0  # seconds
FIRST_ERROR_STATUS = 400
EXIT_STATUS_BY_HTTP_STATUS = {
    401: ExitStatus.UNAUTHENTICATED,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID_SETTINGS,
}
HELP_COMMAND = "chivewall --help"
NEXT_COMMAND_BY_ERROR = {
    "UNAUTHENTICATED": "chivewall --token-file FILE status",
    "CONFLICT": "chivewall config show > FILE, make the change again, chivewall config apply FILE",
    "INVALID_CONFIGURATION": "correct what is named, then chivewall config check FILE",
    "PLATFORM_UNAVAILABLE": "chivewall config history, to see whether the change was accepted",
    "UNKNOWN_REQUEST": "chivewall --address http://OTHER-ENTRY:PORT explain REQUEST",
    "UNKNOWN_EXCEPTION": "chivewall exceptions list",
    "BODY_TOO_LARGE": "remove expired exceptions: chivewall exceptions list",
    "NOT_FOUND": "chivewall --address http://ENTRY:PORT status, to check that this is an entry",
}


class CommandError(ClickException):
    """Ends a command with an exit status, a message and a suggested next command.

    It is printed on standard error, as JSON with ``--json``.
    """

    def __init__(self, message: str, status: ExitStatus, next_command: str = HELP_COMMAND) -> None:
        super().__init__(message)
        self.status = status
        self.exit_code = int(status)
        self.next_command = next_command
        ctx = get_current_context(silent=True)  # click has removed it when ``show`` runs
        self.as_json = ctx is not None and ctx.params.get("as_json", False)

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the error."""
        if not self.as_json:
            echo(f"Error: {self.message}\nNext: {self.next_command}", file=file, err=file is None)
            return
        error = {"status": self.exit_code, "name": self.status.name}
        error |= {"message": self.message, "next": self.next_command}
        echo(json.dumps({"error": error}, ensure_ascii=False), file=file, err=file is None)


class Session:
    """Makes calls within a running reactor."""

    def __init__(self, client: "Client", reactor: Any) -> None:
        self.client = client
        self.reactor = reactor
        # True after Ctrl-C: a connection that the reactor closes is no sign of a missing entry
        self.stopping = False
        reactor.addSystemEventTrigger("before", "shutdown", self._stop)

    @property
    def now(self) -> float:
        """Current time on the reactor's clock, in seconds."""
        return self.reactor.seconds()

    async def sleep(self, seconds: float) -> None:
        """Wait for a time in seconds without blocking the reactor."""
        await deferLater(self.reactor, seconds, lambda: None)

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Make one call and return its JSON response; raises ``CommandError``."""
        client = self.client
        try:
            response = await treq.request(
                method,
                f"{client.base_url}{path}",
                json=body,
                headers={**client.headers(), **(headers or {})},
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except Exception as exc:
            if self.stopping:
                raise Abort from exc
            message = f"no entry responds at {client.base_url} ({exc})"
            raise CommandError(
                message, ExitStatus.UNREACHABLE, "chivewall --address http://ENTRY:PORT status"
            ) from exc
        try:
            answer = await treq.json_content(response)
        except ValueError as exc:
            message = f"{client.base_url} answered {response.code} without JSON; it is not an entry"
            raise CommandError(
                message, ExitStatus.UNREACHABLE, "chivewall --address http://ENTRY:PORT status"
            ) from exc
        if response.code >= FIRST_ERROR_STATUS:
            raise _refusal_error(response.code, answer)
        return answer

    def _stop(self) -> None:
        self.stopping = True


@frozen
class Client:
    """Client of an entry: its base URL and the file with the operator token."""

    base_url: str
    token_file: Path | None = None

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Make one call in a new reactor and return its JSON response; raises ``CommandError``."""
        return self.run(lambda session: session.call(method, path, body, headers))

    def run(self, make_calls: Callable[[Session], Coroutine[Any, Any, Any]]) -> Any:
        """Run a coroutine in the reactor and return its result or raise its error.

        Can be called only once in a process. Raises ``Abort`` if the reactor was
        interrupted.
        """
        results: list[Any] = []
        errors: list[Exception] = []

        async def record(reactor: Any) -> None:
            try:
                results.append(await make_calls(Session(self, reactor)))
            except (CommandError, Abort) as exc:
                errors.append(exc)

        def start(reactor: Any) -> Deferred:
            return ensureDeferred(record(reactor))

        try:
            react(start)
        except SystemExit as exc:
            if exc.code:
                raise CommandError("unexpected error in the call", ExitStatus.FAILED) from exc
        if errors:
            raise errors[0]
        if not results:
            raise Abort
        return results[0]

    def headers(self) -> dict[str, str]:
        """Return the headers of every call; raises ``CommandError`` without a readable token."""
        if self.token_file is None:
            return {}
        try:
            token = self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as exc:
            message = f"can't read the token file {self.token_file}: {exc}"
            raise CommandError(
                message, ExitStatus.UNAUTHENTICATED, NEXT_COMMAND_BY_ERROR["UNAUTHENTICATED"]
            ) from exc
        return {"Authorization": f"Bearer {token}"}


def _refusal_error(http_status: int, answer: Any) -> CommandError:
    error = answer.get("error", {}) if isinstance(answer, dict) else {}
    name = error.get("name", str(http_status))
    message = f"{name} ({error.get('code', '?')}): {error.get('message')}"
    advice = error.get("advice", "")
    status = EXIT_STATUS_BY_HTTP_STATUS.get(http_status, ExitStatus.FAILED)
    return CommandError(
        f"{message}\n{advice}".strip(), status, NEXT_COMMAND_BY_ERROR.get(name, HELP_COMMAND)
    )

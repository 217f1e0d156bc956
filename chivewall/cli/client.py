"""Calls the operator API of an entry and maps every failure to an exit status."""

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

CALL_TIMEOUT = 10.0  # seconds
FIRST_ERROR_STATUS = 400
STATUS_OF_HTTP = {
    401: ExitStatus.UNAUTHENTICATED,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID_SETTINGS,
}
HELP = "chivewall --help"
NEXT_OF_NAME = {
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
    """Ends a command with an exit status and a message that says what to type next.

    With ``--json`` it is printed as JSON, on standard error in any case.
    """

    def __init__(self, message: str, status: ExitStatus, next_command: str = HELP) -> None:
        super().__init__(message)
        self.status = status
        self.exit_code = int(status)
        self.next_command = next_command
        ctx = get_current_context(silent=True)  # there is none any more when it is shown
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
    """Calls from within a running reactor."""

    def __init__(self, client: "Client", reactor: Any) -> None:
        self.client = client
        self.reactor = reactor
        self.stopping = False  # on Ctrl-C the reactor closes its connections; that is no answer
        reactor.addSystemEventTrigger("before", "shutdown", self._stop)

    @property
    def now(self) -> float:
        """Seconds on the clock that ``sleep`` uses."""
        return self.reactor.seconds()

    async def sleep(self, seconds: float) -> None:
        """Wait without blocking the reactor."""
        await deferLater(self.reactor, seconds, lambda: None)

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Return the JSON answer of one call; raises ``CommandError``."""
        client = self.client
        try:
            response = await treq.request(
                method,
                f"{client.base}{path}",
                json=body,
                headers={**client.headers(), **(headers or {})},
                timeout=CALL_TIMEOUT,
            )
        except Exception as exc:
            if self.stopping:
                raise Abort from exc
            message = f"no entry answers at {client.base} ({exc})"
            raise CommandError(
                message, ExitStatus.UNREACHABLE, "chivewall --address http://ENTRY:PORT status"
            ) from exc
        try:
            answer = await treq.json_content(response)
        except ValueError as exc:
            message = f"{client.base} answered {response.code} without JSON; it is no entry"
            raise CommandError(
                message, ExitStatus.UNREACHABLE, "chivewall --address http://ENTRY:PORT status"
            ) from exc
        if response.code >= FIRST_ERROR_STATUS:
            raise _refused(response.code, answer)
        return answer

    def _stop(self) -> None:
        self.stopping = True


@frozen
class Client:
    """Address of an entry and the operator token."""

    base: str
    token_file: Path | None = None

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Return the JSON answer of one call; raises ``CommandError``."""
        return self.run(lambda session: session.call(method, path, body, headers))

    def run(self, work: Callable[[Session], Coroutine[Any, Any, Any]]) -> Any:
        """Run a coroutine in a reactor, once in a process; returns its result or raises its error.

        Raises ``Abort`` if the reactor was interrupted.
        """
        results: list[Any] = []
        errors: list[Exception] = []

        async def record(reactor: Any) -> None:
            try:
                results.append(await work(Session(self, reactor)))
            except (CommandError, Abort) as exc:
                errors.append(exc)

        def start(reactor: Any) -> Deferred:
            return ensureDeferred(record(reactor))

        try:
            react(start)
        except SystemExit as exc:
            if exc.code:
                raise CommandError("the call failed unexpectedly", ExitStatus.FAILED) from exc
        if errors:
            raise errors[0]
        if not results:
            raise Abort
        return results[0]

    def headers(self) -> dict[str, str]:
        """Return the headers that every call has; raises ``CommandError``."""
        if self.token_file is None:
            return {}
        try:
            token = self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as exc:
            message = f"can't read the token file {self.token_file}: {exc}"
            raise CommandError(
                message, ExitStatus.UNAUTHENTICATED, NEXT_OF_NAME["UNAUTHENTICATED"]
            ) from exc
        return {"Authorization": f"Bearer {token}"}


def _refused(http_status: int, answer: Any) -> CommandError:
    error = answer.get("error", {}) if isinstance(answer, dict) else {}
    name = error.get("name", str(http_status))
    message = f"{name} ({error.get('code', '?')}): {error.get('message')}"
    advice = error.get("advice", "")
    status = STATUS_OF_HTTP.get(http_status, ExitStatus.FAILED)
    return CommandError(f"{message}\n{advice}".strip(), status, NEXT_OF_NAME.get(name, HELP))

"""``chivewalld``: runs one process from its settings file until a signal ends it."""

import gc
import signal
import sys
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import ensureDeferred
from twisted.logger import globalLogBeginner
from twisted.python.failure import Failure

from chivewall import __version__
from chivewall.environment import Environment
from chivewall.errors import ChivewallError
from chivewall.events import Event
from chivewall.exits import ExitStatus
from chivewall.kernel import Application
from chivewall.reactor import install_reactor
from chivewall.settings import load

SETTINGS_CHECK_SECONDS = 2.0  # interval between checks of the settings file for changes


@click.command(name="chivewalld")
@click.version_option(__version__, prog_name="chivewalld")
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check the settings file and stop.")
def main(settings: Path, *, check: bool) -> None:
    """Run one chivewall process with the settings in a JSON file with comments.

    SIGTERM or Ctrl-C shuts it down gracefully; Ctrl-C during a shutdown stops it at once.
    SIGHUP reloads the settings file.
    """
    # Importing the plug-ins allocates much and frees little. Collections in between take a fifth of
    # the time until a restarted process serves.
    gc.disable()
    reactor = install_reactor()
    try:
        cfg = load(settings)
        env = Environment.build(cfg, reactor, stdout=sys.stdout, stderr=sys.stderr)
        app = Application(env)
        if check:
            app.check()
            click.echo(f"{settings}: the settings are valid")
            return
    except ChivewallError as exc:
        click.echo(str(exc), err=True)
        sys.exit(ExitStatus.INVALID_SETTINGS)
    sys.exit(Daemon(app, reactor).run())


class Daemon:
    """Runs an application in the reactor and handles signals."""

    def __init__(self, app: Application, reactor: Any) -> None:
        self.app = app
        self.reactor = reactor
        self.status = ExitStatus.OK
        self.reactor_stopped = False
        self.last_tried_text = ""  # text of the changed settings file that was tried last

    def run(self) -> ExitStatus:
        """Run until the application has stopped; return the exit status."""
        globalLogBeginner.beginLoggingTo(
            [self.app.env.log.observe_twisted_log], redirectStandardIO=False, discardBuffer=True
        )
        self.reactor.callWhenRunning(self._start)
        self.reactor.callLater(SETTINGS_CHECK_SECONDS, self._check_settings_file)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.reactor.run(installSignalHandlers=False)
        return self.status

    def _start(self) -> None:
        started = ensureDeferred(self.app.start())
        started.addErrback(self._fail)
        started.addBoth(lambda _: collect_garbage_again())

    def _on_signal(self, number: int, frame: object) -> None:
        self.reactor.callFromThread(self.shut_down, at_once=number == signal.SIGINT)

    def _on_reload_signal(self, number: int, frame: object) -> None:
        self.reactor.callFromThread(self.reload)

    def reload(self) -> None:
        """Reload the settings file; one with errors is logged and ignored."""
        try:
            self.app.reload(load(Path(self.app.env.settings.source)))
        except ChivewallError as exc:
            self.app.env.log.emit(Event.SETTINGS_REJECTED, error=str(exc))

    def _check_settings_file(self) -> None:
        """Reload the settings file if its text has changed."""
        settings = self.app.env.settings
        try:
            text = Path(settings.source).read_text(encoding="utf-8")
        except (OSError, UnicodeError) as exc:
            self.app.env.log.emit(Event.SETTINGS_REJECTED, error=str(exc))
        else:
            if text not in (settings.text, self.last_tried_text):
                self.last_tried_text = text
                self.reload()
        self.reactor.callLater(SETTINGS_CHECK_SECONDS, self._check_settings_file)

    def shut_down(self, *, at_once: bool = False) -> None:
        """Shut down gracefully; ``at_once`` cuts a shutdown short that is in progress.

        SIGTERM comes from supervisors, which may repeat it; only a person who presses Ctrl-C
        again asks for an end that breaks requests off.
        """
        if self.app.draining:
            if not at_once:
                return
            self.status = ExitStatus.FORCED
            ending = ensureDeferred(self.app.stop())
        else:
            ending = ensureDeferred(self.app.shut_down())
        ending.addErrback(self._fail)
        ending.addBoth(lambda _: self._stop_reactor())

    def _fail(self, failure: Failure) -> None:
        exc = failure.value
        if isinstance(exc, ChivewallError):
            click.echo(str(exc), err=True)
        else:
            failure.printTraceback(sys.stderr)
        self.status = ExitStatus.FAILED
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        if self.reactor.running and not self.reactor_stopped:
            # Twisted raises on a second stop before the first has finished.
            self.reactor_stopped = True
            self.reactor.stop()


def collect_garbage_again() -> None:
    """Enable collections, which from now on leave out what was loaded at the start."""
    gc.freeze()
    gc.enable()


if __name__ == "__main__":
    main()

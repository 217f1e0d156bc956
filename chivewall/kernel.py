"""The kernel: loads the plug-ins of a process and runs their life cycle."""

from typing import TypeVar

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.settings import Settings, check_section_names

PluginT = TypeVar("PluginT", bound=Plugin)


class Application:
    """Loads plug-ins and calls their life-cycle hooks.

    Example::

        app = Application(env)
        await app.start()
        await app.shut_down()
    """

    def __init__(self, env: Environment, registry: Registry | None = None) -> None:
        self.env = env
        self.registry = registry or Registry()
        self.plugins: list[Plugin] = []
        self.draining = False
        self._started: list[Plugin] = []
        self._starting: Deferred | None = None  # the start hook in progress
        env.provide(Application, self)

    async def start(self) -> None:
        """Run ``setup`` and then ``start`` of every plug-in, in order.

        If a hook fails, the plug-ins already started are stopped before the
        error is raised. A shutdown cancels the start hook in progress, and the
        remaining plug-ins are not started.
        """
        self._load_plugins()
        for plugin in self.plugins:
            await plugin.setup()
        self.env.log.emit(Event.STARTED, plugins=[plugin.name for plugin in self.plugins])
        try:
            for plugin in self.plugins:
                if self.draining:
                    return
                self._started.append(plugin)
                self._starting = ensureDeferred(plugin.start())
                await self._starting
                self._starting = None
        except Exception as exc:
            if self.draining and isinstance(exc, CancelledError):
                return  # the shutdown stops the started plug-ins
            await self.stop()
            raise

    def check(self) -> None:
        """Load the plug-ins and check their settings without starting anything."""
        self._load_plugins()

    def ready(self) -> bool:
        """Return whether every plug-in is ready and no shutdown has begun."""
        return not self.draining and all(plugin.ready() for plugin in self.plugins)

    def reload(self, settings: Settings) -> None:
        """Pass changed sections to their plug-ins.

        Raises ``SettingsError`` and changes nothing if a section is invalid.
        Settings that a plug-in can't change while it runs, such as an address,
        take effect at the next start.
        """
        sections = [
            (plugin, settings.section(plugin.name, plugin.settings_type)) for plugin in self.plugins
        ]
        changed = [plugin.name for plugin, section in sections if section != plugin.cfg]
        for plugin, section in sections:
            if plugin.name in changed:
                plugin.reload(section)
        self.env.settings = settings
        self.env.log.emit(Event.SETTINGS_RELOADED, changed=changed)

    async def shut_down(self) -> None:
        """Stop once nothing is in flight any more, at the latest after ``drain_seconds``."""
        if not self.draining:
            self.draining = True
            self.env.log.emit(Event.DRAINING)
            self._cancel_start()
            await self._drain_until(self.env.now + self.env.settings.core.drain_seconds)
        await self.stop()

    def find(self, kind: type[PluginT]) -> PluginT:
        """Return the loaded plug-in of that class; raises ``LookupError`` if there is none."""
        for plugin in self.plugins:
            if isinstance(plugin, kind):
                return plugin
        raise LookupError(f"plug-in {kind.__name__} is not loaded")

    async def stop(self) -> None:
        """Run ``stop`` of every started plug-in, in reverse order."""
        while self._started:
            await self._started.pop().stop()
        self.env.log.emit(Event.STOPPED)

    def _cancel_start(self) -> None:
        """Cancel the start hook in progress, so that no further plug-in is started."""
        if self._starting is not None:
            self._starting.cancel()

    def _load_plugins(self) -> None:
        settings = self.env.settings
        classes = [self.registry.load(name) for name in settings.core.plugins]
        check_section_names(settings, known={one.name for one in classes})
        for plugin_class in classes:
            section = settings.section(plugin_class.name, plugin_class.settings_type)
            self.plugins.append(plugin_class(self.env, section))

    async def _drain_until(self, deadline: float) -> None:
        drained = ensureDeferred(self._drain())
        expired: Deferred = Deferred()
        timer = self.env.clock.callLater(max(0.0, deadline - self.env.now), expired.callback, None)
        drained.addBoth(lambda _: expired.called or expired.callback(None))
        await expired
        if timer.active():
            timer.cancel()
        drained.cancel()

    async def _drain(self) -> None:
        for plugin in reversed(self._started):
            await plugin.drain()

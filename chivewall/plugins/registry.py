"""Registry of plug-ins: imports the modules named in the settings, which register themselves."""

import importlib

from chivewall.errors import PluginError
from chivewall.plugins.base import Plugin

BUILTIN_PACKAGE = "chivewall.plugins.builtin"


class Registry:
    """Plug-in classes by plug-in name."""

    def __init__(self) -> None:
        self._classes: dict[str, type[Plugin]] = {}

    def add(self, plugin: type[Plugin]) -> None:
        """Register a plug-in class; the ``register`` function of a plug-in module calls this."""
        if plugin.name in self._classes:
            raise PluginError(f"plug-in {plugin.name!r} is registered twice")
        self._classes[plugin.name] = plugin

    def load(self, name: str) -> type[Plugin]:
        """Return the class of a plug-in, importing its module if needed.

        A name with a dot is the module path of an external plug-in, whose
        plug-in name is the last component. Raises ``PluginError``.
        """
        module_name = name if "." in name else f"{BUILTIN_PACKAGE}.{name}"
        short_name = name.rpartition(".")[2]
        if short_name not in self._classes:
            self._import(module_name, plugin_name=name)
        if short_name not in self._classes:
            raise PluginError(f"module {module_name!r} doesn't register a plug-in {short_name!r}")
        return self._classes[short_name]

    def _import(self, module_name: str, plugin_name: str) -> None:
        try:
            module = importlib.import_module(module_name)
        except ModuleNotFoundError as exc:
            if exc.name != module_name:
                raise
            raise PluginError(f"no plug-in {plugin_name!r}: {exc}") from exc
        if not hasattr(module, "register"):
            raise PluginError(f"module {module_name!r} has no register function")
        module.register(self)

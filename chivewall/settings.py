"""Settings of a process: JSON with comments, checked before anything starts."""

import re
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

import cattrs
import json5
from attrs import define, field, fields, frozen, has, validators

from chivewall.errors import SettingsError

SectionT = TypeVar("SectionT")

MAX_SHOWN_VALUE_CHARS = 60  # maximum length of a value in an error message


class Role(Enum):
    """Role of a daemon process."""

    ENTRY = "entry"
    AGENT = "agent"
    EMBEDDED = "embedded"
    GATEWAY = "gateway"


@frozen
class CoreSettings:
    """Settings common to all processes."""

    role: Role = field(metadata={"help": "Role of the process."})
    instance: str = field(
        validator=validators.min_len(1), metadata={"help": "Unique name of the instance."}
    )
    data_centre: str = field(
        validator=validators.min_len(1), metadata={"help": "Data centre where the instance runs."}
    )
    plugins: tuple[str, ...] = field(
        validator=validators.min_len(1), metadata={"help": "Plug-ins to load, in order."}
    )
    seed: int | None = field(
        default=None,
        metadata={"help": "Seed of the random number generator; unset for a random seed."},
    )
    drain_seconds: float = field(
        default=60.0,
        validator=validators.ge(0),
        metadata={"help": "Maximum duration of a graceful shutdown, in seconds."},
    )


@frozen
class Problem:
    """A problem in a settings file, as one line of the error message."""

    file: str
    line: int | None  # None if the key was not found in the text
    key: str  # dotted path
    value: str  # text of the invalid value
    allowed: str  # description of the allowed values

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return f"{place}: {self.key} = {self.value}: {self.allowed}"


@define
class Settings:
    """The core settings, and the raw sections of the plug-ins by name."""

    core: CoreSettings
    sections: dict[str, Any] = field(factory=dict)
    source: str = "<memory>"  # path of the file
    text: str = ""  # text of the file

    def section(self, name: str, kind: type[SectionT]) -> SectionT:
        """Return the section of a plug-in as an instance of ``kind``; raises ``SettingsError``."""
        checker = SettingsChecker(source=self.source, text=self.text)
        value = checker.structure(self.sections.get(name, {}), kind, path=(name,))
        checker.raise_problems()
        return value


class SettingsChecker:
    """Checks settings and collects all problems, so that they are raised together."""

    def __init__(self, source: str, text: str) -> None:
        self.source = source
        self.text = text
        self.problems: list[Problem] = []

    def structure(self, raw: object, kind: type, path: tuple[str, ...] = ()) -> Any:
        """Convert raw JSON into ``kind``; returns ``None`` if it has problems."""
        if not isinstance(raw, dict):
            self.add(path, raw, allowed="an object is expected")
            return None
        problems_before = len(self.problems)
        known = {attribute.name: attribute for attribute in fields(kind)}
        for key in raw.keys() - known.keys():
            self.add((*path, key), raw[key], f"unknown key; allowed: {', '.join(sorted(known))}")
        values = {}
        for name, attribute in known.items():
            if name in raw:
                values[name] = self._structure_value(raw[name], attribute, (*path, name))
            elif attribute.default is _NOTHING:
                self.add((*path, name), "(missing)", allowed=f"required: {_describe(attribute)}")
        return kind(**values) if len(self.problems) == problems_before else None

    def add(self, path: tuple[str, ...], value: object, allowed: str) -> None:
        """Record one problem."""
        shown = repr(value)[:MAX_SHOWN_VALUE_CHARS]
        line = find_line(self.text, path)
        self.problems.append(Problem(self.source, line, ".".join(path), shown, allowed))

    def raise_problems(self) -> None:
        """Raise ``SettingsError`` with all recorded problems, if there are any."""
        if self.problems:
            raise SettingsError("\n".join(str(problem) for problem in self.problems))

    def _structure_value(self, raw: object, attribute: Any, path: tuple[str, ...]) -> Any:
        kind = attribute.type
        if has(kind):
            return self.structure(raw, kind, path)
        item = getattr(kind, "__args__", (None,))[0]
        if getattr(kind, "__origin__", None) is tuple and has(item):
            return self._structure_items(raw, item, path)
        try:
            value = _CONVERTER.structure(raw, kind)
            if attribute.validator is not None:
                attribute.validator(None, attribute, value)
        except (Exception, ExceptionGroup):
            self.add(path, raw, allowed=f"allowed: {_describe(attribute)}")
            return None
        return value

    def _structure_items(self, raw: object, item: type, path: tuple[str, ...]) -> tuple:
        if not isinstance(raw, list):
            self.add(path, raw, allowed="a list is expected")
            return ()
        return tuple(
            self.structure(one, item, (*path, str(index))) for index, one in enumerate(raw)
        )


def load(path: Path) -> Settings:
    """Read and check a settings file.

    Raises ``SettingsError`` that names file, line, key, invalid value and allowed
    values of every problem in the core settings. Plug-in sections are checked
    later, with ``Settings.section``.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"{path}: can't read the file: {exc.strerror}") from exc
    return parse(text, source=str(path))


def parse(text: str, source: str = "<memory>") -> Settings:
    """Parse and check settings given as text; raises ``SettingsError`` like ``load``."""
    try:
        raw = json5.loads(text)
    except ValueError as exc:
        raise SettingsError(f"{source}: not JSON with comments: {exc}") from exc
    checker = SettingsChecker(source=source, text=text)
    if not isinstance(raw, dict):
        checker.add(("(file)",), raw, allowed="an object is expected")
        checker.raise_problems()
    names = {attribute.name for attribute in fields(CoreSettings)}
    core = checker.structure(
        {key: value for key, value in raw.items() if key in names}, CoreSettings
    )
    sections = {key: value for key, value in raw.items() if key not in names}
    checker.raise_problems()
    return Settings(core=core, sections=sections, source=source, text=text)


def check_section_names(settings: Settings, known: set[str]) -> None:
    """Raise ``SettingsError`` if a section does not belong to a loaded plug-in."""
    checker = SettingsChecker(source=settings.source, text=settings.text)
    for name in settings.sections.keys() - known:
        allowed = ", ".join(sorted(known)) or "none"
        checker.add(
            (name,), settings.sections[name], f"no loaded plug-in has this name; loaded: {allowed}"
        )
    checker.raise_problems()


def find_line(text: str, path: tuple[str, ...]) -> int | None:
    """Return the line number of the last key of ``path`` that is found in ``text``."""
    position = None
    start = 0
    for key in path:
        pattern = re.compile(rf"""["']?{re.escape(key)}["']?\s*:""")
        match = pattern.search(text, start)
        if match is None:
            continue
        position = match.start()
        start = match.end()
    return None if position is None else text.count("\n", 0, position) + 1


def _require_exact_type(value: object, kind: type) -> object:
    accepted = (int, float) if kind is float else (kind,)
    if type(value) not in accepted:  # isinstance would accept a bool as a number
        raise ValueError(f"{kind.__name__} is expected")
    return kind(value)


def _describe(attribute: Any) -> str:
    kind = attribute.type
    if isinstance(kind, type) and issubclass(kind, Enum):
        return "one of " + ", ".join(repr(member.value) for member in kind)
    name = kind.__name__ if isinstance(kind, type) else str(kind).replace("typing.", "")
    bounds = f" ({attribute.validator!r})" if attribute.validator is not None else ""
    bounds = bounds.replace("<", "").replace(">", "")
    help_text = attribute.metadata.get("help", "")
    return f"{name}{bounds}. {help_text}".strip()


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _require_exact_type)
    return converter


_CONVERTER = _make_converter()
_NOTHING = fields(CoreSettings).role.default

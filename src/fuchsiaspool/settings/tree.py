"""Read the INI texts of a settings tree and check them as a whole."""

import configparser
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Final, TypeVar, get_type_hints

import msgspec

from ..ids import (
    ClassName,
    OperationName,
    Revision,
    ServiceName,
    SubtreePath,
    TeamName,
)
from ..results import Err, Ok, Result
from .policy import (
    DEFAULT_PRIORITY,
    Limits,
    OperationPolicy,
    Policy,
    ServicePolicy,
)
from .sections import (
    ClassSection,
    LimitsSection,
    OperationSection,
    OwnerSection,
    ServiceSection,
)

ROOT_PATH: Final = SubtreePath("")
# A change touches one text of many: the others are not parsed again.
PARSED_TEXTS: Final = 1024
_MILLI: Final = 1000.0
_DEFAULT_LIMITS: Final = LimitsSection(
    retry_allowance=2,
    retry_percent=10,
    deadline_ms=30_000,
    queue_ms=500,
    region_kbit=800,
)
SubtreeTexts = Mapping[SubtreePath, str]
S = TypeVar("S")
K = TypeVar("K", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Say where a settings text is wrong and what was expected."""

    path: str
    section: str
    detail: str

    def __str__(self) -> str:
        return f"{self.path or 'root'}: [{self.section}] {self.detail}"


class _FaultError(Exception):
    def __init__(self, fault: SettingsFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


@lru_cache(maxsize=PARSED_TEXTS)
def parse_ini(path: str, text: str) -> Result[configparser.ConfigParser, SettingsFault]:
    """Parse INI text strictly; what is returned is shared and must not change."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source=path or "root")
    except configparser.Error as error:
        return Err(SettingsFault(path, "", str(error).replace("\n", " ")))
    return Ok(parser)


def convert_section(
    path: str, parser: configparser.ConfigParser, section: str, kind: type[K]
) -> Result[K, SettingsFault]:
    """Convert one section to its typed definition."""
    values = dict(parser.items(section))
    for option in _find_booleans(kind):
        word = values.get(option, "").lower()
        if word in parser.BOOLEAN_STATES:
            values[option] = str(parser.BOOLEAN_STATES[word]).lower()
    try:
        return Ok(msgspec.convert(values, kind, strict=False))
    except msgspec.ValidationError as error:
        return Err(SettingsFault(path, section, str(error)))


@lru_cache
def _find_booleans(kind: type[msgspec.Struct]) -> tuple[str, ...]:
    hints = get_type_hints(kind)
    fields = msgspec.structs.fields(kind)
    return tuple(f.encode_name for f in fields if hints[f.name] is bool)


def list_ancestors(path: SubtreePath) -> Iterator[SubtreePath]:
    """Yield the root, then each subtree down to `path` itself."""
    yield ROOT_PATH
    parts = path.split("/") if path else []
    for count in range(1, len(parts) + 1):
        yield SubtreePath("/".join(parts[:count]))


def build_policy(
    revision: Revision, texts: SubtreeTexts
) -> Result[Policy, SettingsFault]:
    """Check a whole tree and compile it."""
    try:
        return Ok(_Builder(texts).build(revision))
    except _FaultError as error:
        return Err(error.fault)


def find_owner(texts: SubtreeTexts, path: SubtreePath) -> TeamName:
    """Return the team of the nearest subtree that names one, or no name."""
    section = _find_owner_section(texts, path)
    return TeamName(section.team if section else "")


def find_token_hash(texts: SubtreeTexts, path: SubtreePath) -> str:
    """Return the SHA-256 that the owner's token must have, or no text."""
    section = _find_owner_section(texts, path)
    return section.token_sha256 if section else ""


def _find_owner_section(texts: SubtreeTexts, path: SubtreePath) -> OwnerSection | None:
    owner: OwnerSection | None = None
    for ancestor in list_ancestors(path):
        parsed = parse_ini(ancestor, texts.get(ancestor, ""))
        if isinstance(parsed, Err) or not parsed.value.has_section("owner"):
            continue
        found = convert_section(ancestor, parsed.value, "owner", OwnerSection)
        if isinstance(found, Ok):
            owner = found.value
    return owner


class _Builder:
    """Hold the parsed texts while a policy is compiled."""

    def __init__(self, texts: SubtreeTexts) -> None:
        self._texts = texts
        self._parsers: dict[SubtreePath, configparser.ConfigParser] = {}
        self._limits: dict[SubtreePath, LimitsSection] = {}
        self._classes: dict[ClassName, int] = {}
        self._services: dict[ServiceName, ServicePolicy] = {}

    def build(self, revision: Revision) -> Policy:
        for path in sorted(self._texts):
            self._parsers[path] = _unwrap(parse_ini(path, self._texts[path]))
        for path in self._parsers:
            self._read_limits(path)
            self._read_classes(path)
        self._classes.setdefault(ClassName("default"), DEFAULT_PRIORITY)
        for path in self._parsers:
            self._read_service(path)
        return Policy(revision, self._services, self._classes)

    def _read_limits(self, path: SubtreePath) -> None:
        parser = self._parsers[path]
        own = LimitsSection()
        if parser.has_section("limits"):
            own = _unwrap(convert_section(path, parser, "limits", LimitsSection))
        parent = self._find_parent_limits(path)
        merged = {}
        for name in LimitsSection.__struct_fields__:
            bound, value = getattr(parent, name), getattr(own, name)
            merged[name] = bound if value is None else value
            if value is None or path == ROOT_PATH or value <= bound:
                continue
            option = name.replace("_", "-")
            detail = f"{option} = {value} loosens the parent's bound {bound}"
            raise _FaultError(SettingsFault(path, "limits", detail))
        self._limits[path] = LimitsSection(**merged)

    def _find_parent_limits(self, path: SubtreePath) -> LimitsSection:
        found = _DEFAULT_LIMITS
        for ancestor in list_ancestors(path):
            if ancestor != path:
                found = self._limits.get(ancestor, found)
        return found

    def _read_classes(self, path: SubtreePath) -> None:
        parser = self._parsers[path]
        for section in parser.sections():
            kind, _, name = section.partition(" ")
            if kind not in ("limits", "class", "service", "operation", "owner"):
                raise _FaultError(SettingsFault(path, section, "unknown section"))
            if kind == "owner":
                _unwrap(convert_section(path, parser, section, OwnerSection))
            if kind != "class":
                continue
            found = _unwrap(convert_section(path, parser, section, ClassSection))
            known = self._classes.setdefault(ClassName(name), found.priority)
            if known != found.priority:
                detail = f"class already has priority {known}"
                raise _FaultError(SettingsFault(path, section, detail))

    def _read_service(self, path: SubtreePath) -> None:
        parser = self._parsers[path]
        names = [s for s in parser.sections() if s.partition(" ")[0] == "service"]
        if not names:
            return
        if len(names) > 1:
            detail = "a subtree holds one service"
            raise _FaultError(SettingsFault(path, names[1], detail))
        section = names[0]
        name = ServiceName(section.partition(" ")[2])
        if not name or name in self._services:
            detail = "expected a service name that no other subtree has"
            raise _FaultError(SettingsFault(path, section, detail))
        found = _unwrap(convert_section(path, parser, section, ServiceSection))
        service = ServicePolicy(
            name,
            find_owner(self._texts, path),
            _convert_limits(self._limits[path]),
            found.slots,
            found.connections,
            found.queue_target_ms / _MILLI,
        )
        default = self._make_operation(
            path, section, "other", found.default_class, None, service.limits
        )
        service.default = default
        self._services[name] = service
        self._read_operations(path, service, found.default_class)

    def _read_operations(
        self, path: SubtreePath, service: ServicePolicy, default_class: str
    ) -> None:
        parser = self._parsers[path]
        for section in parser.sections():
            kind, _, name = section.partition(" ")
            if kind != "operation":
                continue
            found = _unwrap(convert_section(path, parser, section, OperationSection))
            method, _, pattern = found.match.partition(" ")
            if not pattern.startswith("/"):
                detail = f"match = {found.match!r}: expected METHOD /path"
                raise _FaultError(SettingsFault(path, section, detail))
            if found.protected and found.idempotent:
                detail = "an operation is protected or idempotent, not both"
                raise _FaultError(SettingsFault(path, section, detail))
            operation = self._make_operation(
                path,
                section,
                name,
                found.call_class or default_class,
                found,
                service.limits,
            )
            service.add_operation(found.match, operation)

    def _make_operation(
        self,
        path: SubtreePath,
        section: str,
        name: str,
        class_name: str,
        found: OperationSection | None,
        limits: Limits,
    ) -> OperationPolicy:
        call_class = ClassName(class_name)
        if call_class not in self._classes:
            detail = f"class {class_name!r} is not defined in the tree"
            raise _FaultError(SettingsFault(path, section, detail))
        deadline = limits.deadline
        if found is not None:
            deadline = min(deadline, found.deadline_ms / _MILLI)
        return OperationPolicy(
            OperationName(name),
            call_class,
            self._classes[call_class],
            found is not None and found.idempotent,
            found is not None and found.protected,
            deadline,
        )


def _unwrap(result: Result[S, SettingsFault]) -> S:
    match result:
        case Ok(value):
            return value
        case Err(fault):
            raise _FaultError(fault)


def _convert_limits(section: LimitsSection) -> Limits:
    assert section.retry_allowance is not None
    assert section.retry_percent is not None
    assert section.deadline_ms is not None
    assert section.queue_ms is not None
    assert section.region_kbit is not None
    return Limits(
        section.retry_allowance,
        section.retry_percent / 100,
        section.deadline_ms / _MILLI,
        section.queue_ms / _MILLI,
        section.region_kbit * 1000 / 8,
    )

"""Generate the settings reference from the definitions that validate them."""

from collections.abc import Iterator
from typing import Any, Final, get_args, get_type_hints

import msgspec

from .sections import (
    ClassSection,
    LimitsSection,
    NodeSection,
    OperationSection,
    OwnerSection,
    ServiceSection,
)

SECTIONS: Final = (
    ("[owner]", OwnerSection, "subtree"),
    ("[limits]", LimitsSection, "subtree"),
    ("[class NAME]", ClassSection, "subtree"),
    ("[service NAME]", ServiceSection, "subtree"),
    ("[operation NAME]", OperationSection, "subtree"),
    ("[node]", NodeSection, "node"),
)


def write_reference() -> str:
    """Return the reference as Markdown."""
    return "\n".join(_generate_lines()) + "\n"


def _generate_lines() -> Iterator[str]:
    yield "# Settings reference"
    yield ""
    yield "Generated from the definitions that check the settings:"
    yield "`fuchsiaspool-ctl settings reference`. Options of a subtree belong to its"
    yield "owning team, those of `[node]` to the node's operators, in its own file."
    for title, kind, _ in SECTIONS:
        yield ""
        yield f"## `{title}`"
        yield ""
        yield kind.__doc__ or ""
        yield ""
        yield "| Option | Type | Default | Bounds | Meaning |"
        yield "|---|---|---|---|---|"
        for field in msgspec.structs.fields(kind):
            yield _describe_option(kind, field)


def _describe_option(kind: Any, field: msgspec.structs.FieldInfo) -> str:
    hint = get_type_hints(kind)[field.name]
    types = [t for t in get_args(hint) if t is not type(None)] or [hint]
    meta = _find_metadata(get_type_hints(kind, include_extras=True)[field.name])
    default = "required"
    if field.default is not msgspec.NODEFAULT:
        default = "inherited" if field.default is None else repr(field.default)
    bounds = ""
    if meta.ge is not None:
        bounds = f"{meta.ge} to {meta.le}" if meta.le is not None else f"from {meta.ge}"
    return (
        f"| `{field.encode_name}` | {types[0].__name__} | {default} | {bounds} "
        f"| {meta.description} |"
    )


def _find_metadata(hint: Any) -> msgspec.Meta:
    for part in (hint, *get_args(hint)):
        for extra in getattr(part, "__metadata__", ()):
            if isinstance(extra, msgspec.Meta):
                return extra
    return msgspec.Meta()

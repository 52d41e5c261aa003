"""Represent the result of a step that may fail."""

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Carry the value of a step that succeeded."""

    value: T


@dataclass(frozen=True, slots=True)
class Err(Generic[E]):
    """Carry the error of a step that failed."""

    error: E


Result = Ok[T] | Err[E]

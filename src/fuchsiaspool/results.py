"""Carry the result of a step that is expected to fail at times."""

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Hold the value of a step that succeeded."""

    value: T


@dataclass(frozen=True, slots=True)
class Err(Generic[E]):
    """Hold the error of a step that failed."""

    error: E


Result = Ok[T] | Err[E]

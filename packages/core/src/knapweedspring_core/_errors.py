"""Errors of the core package, returned inside ``result.Err``."""

from dataclasses import dataclass

__all__ = [
    "CodecError",
    "DeclarationError",
    "PlatformConflict",
    "PlatformError",
    "PlatformRefused",
    "PlatformUnavailable",
    "PlatformVersionTooOld",
    "SettingsError",
]


@dataclass(frozen=True, slots=True)
class CodecError:
    """Bytes that do not hold the expected message."""

    #: Message of the decoder, with the path of the field.
    detail: str


@dataclass(frozen=True, slots=True)
class SettingsError:
    """A settings file that cannot be used."""

    #: Path of the file.
    file: str
    #: What is wrong and where, such as ``Expected `int` - at `$.slots```.
    detail: str

    def __str__(self) -> str:
        return f"{self.file}: {self.detail}"


@dataclass(frozen=True, slots=True)
class DeclarationError:
    """A declaration whose content breaks a rule."""

    #: Path inside the object, such as ``$.retry_budget``.
    path: str
    #: What is wrong, or what the operator should write instead.
    advice: str

    def __str__(self) -> str:
        return f"{self.path}: {self.advice}"


@dataclass(frozen=True, slots=True)
class PlatformError:
    """Base class of the errors of the platform's object API."""

    #: Description for logs and operators.
    detail: str

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.detail}"


@dataclass(frozen=True, slots=True)
class PlatformUnavailable(PlatformError):
    """The platform did not answer, or failed; a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class PlatformConflict(PlatformError):
    """The stored version differs from the one that a conditional write expected."""

    #: Version that is stored instead, 0 when the object does not exist.
    current_version: int


@dataclass(frozen=True, slots=True)
class PlatformRefused(PlatformError):
    """The platform rejected the request, which had no effect."""


@dataclass(frozen=True, slots=True)
class PlatformVersionTooOld(PlatformError):
    """A watch asked for changes that the platform no longer stores."""

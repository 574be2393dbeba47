"""Who sends a request: operators, customers and callers, told apart by tokens.

The tokens file is JSON with comments and holds SHA-256 digests only:

    {"tokens": [
      {"role": "operator", "name": "alice", "sha256": "9f86d0..."},
      {"role": "customer", "name": "cooperative", "sha256": "60303a..."},
    ]}

A token is a long random text, sent as ``Authorization: Bearer TOKEN``. The file
is read again when it changes; a file with errors leaves the old tokens in use.
"""

from __future__ import annotations

import hashlib
import hmac
import logging
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, final

from aiohttp import web
from pydantic import Field

from masticdeck.clock import boottime
from masticdeck.errors import MasticdeckError, SettingsInvalid
from masticdeck.events import Code, EventLog
from masticdeck.ids import CustomerId
from masticdeck.state.deployment import Model, read_model

RELOAD_CHECK_S = 0.5
MAX_TOKEN_CHARACTERS = 512
SCHEME = "Bearer "


class NotAuthenticated(MasticdeckError):
    """The request carries no token that is known."""

    code = "MD4020"
    title = "not authenticated"
    remedy = "send a token of the operators' tokens file as Authorization: Bearer"
    status = 401


class NotAllowed(MasticdeckError):
    """The identity may not do this."""

    code = "MD4021"
    title = "not allowed"
    remedy = "use a token of the role that the detail names"
    status = 403


class Role(Enum):
    """What a token stands for."""

    OPERATOR = "operator"
    CUSTOMER = "customer"
    CALLER = "caller"


class TokenEntry(Model):
    """One line of the tokens file."""

    role: Role
    name: Annotated[str, Field(min_length=1, max_length=64)]
    sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


class TokenFile(Model):
    """The tokens file."""

    tokens: tuple[TokenEntry, ...]


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """Who sent a request; ``customer`` is set for the role of a customer."""

    role: Role
    name: str

    @property
    def customer(self) -> CustomerId | None:
        """Return the customer for whom the sender speaks."""
        return CustomerId(self.name) if self.role is Role.CUSTOMER else None

    def require(self, *roles: Role) -> None:
        """Raise NotAllowed unless the identity has one of the roles."""
        if self.role not in roles:
            names = " or ".join(role.value for role in roles)
            raise NotAllowed(f"this needs the role {names}, not {self.role.value}")


def hash_token(token: str) -> str:
    """Return the digest of a token as the tokens file holds it.

    >>> hash_token("test")[:8]
    '9f86d081'
    """
    return hashlib.sha256(token.encode()).hexdigest()


class Authenticator:
    """Finds the identity behind a token.

    Every digest of the file is compared, each in constant time, so that the
    answer's delay tells nothing about the tokens.
    """

    def __init__(self, path: Path | None, events: EventLog) -> None:
        self.path = path
        self.events = events
        self.tokens: tuple[TokenEntry, ...] = ()
        self.stamp: tuple[int, int, int] | None = None
        self.checked_at = 0.0
        if path is not None:
            self.stamp = file_stamp(path)
            self.tokens = TokenFile.model_validate(read_model(path, TokenFile)).tokens

    def authenticate(self, request: web.BaseRequest) -> Identity:
        """Return who sent a request, or raise NotAuthenticated."""
        return self.identify(request.headers.get("Authorization", ""))

    def identify(self, header: str) -> Identity:
        """Return the identity behind an Authorization header."""
        self.reload()
        if not header.startswith(SCHEME):
            raise NotAuthenticated("no bearer token")
        token = header[len(SCHEME) :].strip()
        if not token or len(token) > MAX_TOKEN_CHARACTERS:
            raise NotAuthenticated("the token is empty or too long")
        digest = hash_token(token)
        found: TokenEntry | None = None
        for entry in self.tokens:
            if hmac.compare_digest(entry.sha256, digest):
                found = entry
        if found is None:
            raise NotAuthenticated("the token is not known")
        return Identity(found.role, found.name)

    def reload(self) -> None:
        """Read the file again when it has changed."""
        now = boottime()
        if self.path is None or now - self.checked_at < RELOAD_CHECK_S:
            return
        self.checked_at = now
        try:
            stamp = file_stamp(self.path)
            if stamp == self.stamp:
                return
            self.stamp = stamp
            self.tokens = TokenFile.model_validate(
                read_model(self.path, TokenFile)
            ).tokens
        except SettingsInvalid as error:
            self.events.emit(Code.TOKENS_INVALID, level=logging.ERROR, error=error)
            return
        self.events.emit(Code.TOKENS_RELOADED, tokens=len(self.tokens))


def file_stamp(path: Path) -> tuple[int, int, int]:
    """Return what changes when a file is replaced or rewritten."""
    try:
        stat = path.stat()
    except OSError as error:
        raise SettingsInvalid(f"{path}: {error.strerror}") from None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino

"""Tokens: who is who, reload without restart, refusals."""

from __future__ import annotations

import json

import pytest

from masticdeck.clock import HybridClock
from masticdeck.errors import SettingsInvalid
from masticdeck.events import Code, EventLog
from masticdeck.protocol import identity
from masticdeck.protocol.identity import (
    Authenticator,
    NotAllowed,
    NotAuthenticated,
    Role,
    hash_token,
)


def write(path, **tokens):
    entries = [
        {"role": role, "name": name, "sha256": hash_token(token)}
        for token, (role, name) in tokens.items()
    ]
    path.write_text(json.dumps({"tokens": entries}))


@pytest.fixture
def events():
    return EventLog("entry-1", HybridClock())


@pytest.fixture
def path(tmp_path, monkeypatch):
    monkeypatch.setattr(identity, "RELOAD_CHECK_S", 0.0)
    path = tmp_path / "tokens.jsonc"
    write(path, first=("operator", "alice"), second=("customer", "cooperative"))
    return path


def test_token_tells_role_and_customer(path, events):
    found = Authenticator(path, events).identify("Bearer second")
    assert (found.role, found.customer) == (Role.CUSTOMER, "cooperative")
    with pytest.raises(NotAllowed, match="operator"):
        found.require(Role.OPERATOR)


@pytest.mark.parametrize(
    "header",
    ["", "Bearer", "Bearer ", "Bearer third", "Basic first", "Bearer " + "x" * 600],
    ids=["none", "scheme-only", "empty", "unknown", "basic", "oversized"],
)
def test_unknown_token_is_refused_with_a_code(path, events, header):
    with pytest.raises(NotAuthenticated, match="MD4020"):
        Authenticator(path, events).identify(header)


def test_without_a_tokens_file_nobody_is_known(events):
    with pytest.raises(NotAuthenticated):
        Authenticator(None, events).identify("Bearer first")


def test_changed_file_takes_effect_without_a_restart(path, events):
    authenticator = Authenticator(path, events)
    write(path, third=("operator", "bob"))
    assert authenticator.identify("Bearer third").name == "bob"
    with pytest.raises(NotAuthenticated):
        authenticator.identify("Bearer first")


def test_file_with_errors_leaves_the_old_tokens_in_use(path, events):
    authenticator = Authenticator(path, events)
    path.write_text('{"tokens": [{"role": "king"}]}')
    assert authenticator.identify("Bearer first").name == "alice"
    assert events.ring[-1].code is Code.TOKENS_INVALID


def test_file_with_errors_at_the_start_stops_the_process(path, events):
    path.write_text('{"tokens": [{"role": "king"}]}')
    with pytest.raises(SettingsInvalid, match="role"):
        Authenticator(path, events)

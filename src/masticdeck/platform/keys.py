"""Digests of keys, which replace the keys in everything that entries keep and send."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from masticdeck.state.workspaces import KeyDigest

DIGEST_BYTES = 16
"""Size of a digest; two of a million keys collide with a probability of 1e-27."""

PURPOSE = b"masticdeck-key"

KEY_FIELD = "api_keys"
KEY_FIELD_BYTES = b'"api_keys"'

DIGEST_FIELD = "key_digests"
"""Field of a concealed configuration that holds digests.

It differs from that of the keys, so that a record tells which of them it holds:
entries of an older version pass configurations on as the operator wrote them.
"""

NO_UTF8_MARKS = (b"\\u", b"\x00")
"""Bytes of a configuration in which a field's name may be written differently.

A name may have escapes, and text in UTF-16 or UTF-32 has zero bytes.
"""


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest of a key."""
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES, person=PURPOSE)
    return KeyDigest(digest.hexdigest())


def conceal_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of its keys.

    One that cannot be read is emptied: no part of it is passed on. A key that is not
    text is left out, and so is a workspace that is not an object. Configurations
    without keys, and concealed ones, are not decoded.
    """
    if KEY_FIELD_BYTES not in value and not any(
        mark in value for mark in NO_UTF8_MARKS
    ):
        return value
    try:
        fields = json.loads(value)
        rows = fields.get("tenants")
        if rows is not None:
            fields["tenants"] = [
                conceal_workspace(row) for row in rows if isinstance(row, dict)
            ]
        return json.dumps(fields, separators=(",", ":")).encode()
    except (ValueError, TypeError, AttributeError, RecursionError):
        return b""


def conceal_workspace(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a workspace with digests in place of its keys."""
    if KEY_FIELD in fields:
        keys = fields.pop(KEY_FIELD)
        digests = map(digest_text, keys if isinstance(keys, list) else ())
        fields[DIGEST_FIELD] = [digest for digest in digests if digest is not None]
    return fields


def digest_text(key: object) -> KeyDigest | None:
    """Return the digest of a key of a configuration, None if it is not usable text."""
    if not isinstance(key, str) or not key:
        return None
    try:
        return digest_key(key.encode())
    except UnicodeEncodeError:
        return None

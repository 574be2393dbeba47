"""Errors as callers see them: problem documents (RFC 9457)."""

from __future__ import annotations

import json

from aiohttp import web

from masticdeck.errors import MasticdeckError
from masticdeck.protocol import headers

PROBLEM_TYPE = "application/problem+json"


def problem_document(error: MasticdeckError) -> bytes:
    """Return the body of a problem document."""
    problem = {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": str(error),
        "code": error.code,
    }
    return json.dumps(problem).encode()


def error_response(error: MasticdeckError) -> web.Response:
    """Return the answer for an error, with its outcome and the time to wait."""
    fields = {}
    if error.outcome is not None:
        fields[headers.OUTCOME] = error.outcome.value
    if error.retry_after_s is not None:
        fields[headers.RETRY_AFTER] = str(max(1, round(error.retry_after_s)))
    return web.Response(
        status=error.status,
        body=problem_document(error),
        content_type=PROBLEM_TYPE,
        headers=fields,
    )

"""Status lines that are no answer to any request of an HTTP client."""

from __future__ import annotations

import pytest

INVALID_STATUSES = [
    pytest.param(text, id=text.split("\r")[0].strip() or "blank")
    for text in (
        "000 Zero",
        "000",
        "099 Low",
        "101 Unasked",
        "600 High",
        "999 High",
        "20 Short",
        "2000 Long",
        "2x0 Letter",
        "+20 Sign",
        " Blank",
        "",
    )
] + [pytest.param("200 OK\r\nHTTP/1.1 200 OK", id="two status lines")]

INTERIM_STATUSES = [100, 102, 103, 199]

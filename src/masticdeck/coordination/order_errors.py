"""Errors of orders, with the outcome that each one guarantees to the caller.

"Not run" is final for a key: once an entry has returned it, no entry runs an
order under that key, so a caller may safely send the order again under a new
key.
"""

from __future__ import annotations

from masticdeck.errors import MasticdeckError
from masticdeck.ids import Outcome

NEW_KEY_REMEDY = "look up again and send the order under a new key"
SAME_KEY_REMEDY = "repeat the request with the same key and body, at any entry"


class OrderKeyInvalid(MasticdeckError):
    """The Idempotency-Key does not begin with the home token of a look-up."""

    code = "MD6001"
    title = "order key invalid"
    remedy = "look up and begin the Idempotency-Key with the home token of the response"
    status = 400
    outcome = Outcome.NOT_RUN


class OrderHomeUnknown(MasticdeckError):
    """The key's home token names an entry that is not in the deployment."""

    code = "MD6002"
    title = "home entry of the order unknown"
    remedy = NEW_KEY_REMEDY
    status = 400
    outcome = Outcome.NOT_RUN


class OrderKeyReused(MasticdeckError):
    """The key was used before with another body, path or method.

    The error makes no statement about the first order, so it has no outcome.
    """

    code = "MD6003"
    title = "order key already used for another request"
    remedy = "send another order under a new key, or repeat the first unchanged"
    status = 422


class OrderNotRun(MasticdeckError):
    """The order did not run and will never run under this key."""

    code = "MD6004"
    title = "order not run"
    remedy = NEW_KEY_REMEDY
    status = 503
    outcome = Outcome.NOT_RUN


class OrderOutcomeUnknown(MasticdeckError):
    """The order may or may not have run; no reachable entry knows its outcome."""

    code = "MD6005"
    title = "outcome of the order unknown"
    remedy = SAME_KEY_REMEDY
    status = 502
    outcome = Outcome.UNKNOWN


class OrderExpired(MasticdeckError):
    """The key is older than the stored records, so its outcome is unknown."""

    code = "MD6006"
    title = "order key older than the stored records"
    remedy = "query the service itself for the order"
    status = 410
    outcome = Outcome.UNKNOWN


class OrderTooLarge(MasticdeckError):
    """The body of an order with a key exceeds ``max_order_bytes``."""

    code = "MD6007"
    title = "order body too large"
    remedy = "send a smaller body, or raise max_order_bytes in the settings"
    status = 413
    outcome = Outcome.NOT_RUN


class OrderResponseNotStored(MasticdeckError):
    """The order ran and got a response, but its body was too large to store."""

    code = "MD6008"
    title = "the order ran, but its response was too large to store"
    remedy = "query the service itself for the order; do not send it again"
    status = 409


ORDER_ERRORS: dict[str, type[MasticdeckError]] = {
    error.code: error
    for error in (
        OrderKeyInvalid,
        OrderHomeUnknown,
        OrderKeyReused,
        OrderNotRun,
        OrderOutcomeUnknown,
        OrderExpired,
        OrderTooLarge,
        OrderResponseNotStored,
    )
}

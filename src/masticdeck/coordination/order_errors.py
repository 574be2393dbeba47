"""Errors about orders; each says whether the order is proven not to have run.

"Not run" is final for a key: no entry runs a key after one of them has
answered "not run" for it, so a caller may safely send the order again under a
new key.
"""

from __future__ import annotations

from masticdeck.errors import MasticdeckError
from masticdeck.ids import Outcome

NEW_KEY_REMEDY = "look up again and send the order under a new key"
SAME_KEY_REMEDY = "ask again with the same key and body, at any entry"


class OrderKeyInvalid(MasticdeckError):
    """The Idempotency-Key does not begin with the home token of a look-up."""

    code = "MD6001"
    title = "order key invalid"
    remedy = "look up and begin the Idempotency-Key with the answer's home token"
    status = 400
    outcome = Outcome.NOT_RUN


class OrderHomeUnknown(MasticdeckError):
    """The key's home token names an entry that the deployment lacks."""

    code = "MD6002"
    title = "home entry of the order unknown"
    remedy = NEW_KEY_REMEDY
    status = 400
    outcome = Outcome.NOT_RUN


class OrderKeyReused(MasticdeckError):
    """The key was used before with another body, path or method.

    Nothing is said of the first order, so no outcome is vouched for.
    """

    code = "MD6003"
    title = "order key used before for another request"
    remedy = "send another order under a new key, or repeat the first unchanged"
    status = 422


class OrderNotRun(MasticdeckError):
    """The order has not run and will never run under this key."""

    code = "MD6004"
    title = "order not run"
    remedy = NEW_KEY_REMEDY
    status = 503
    outcome = Outcome.NOT_RUN


class OrderOutcomeUnknown(MasticdeckError):
    """The order may or may not have run; no entry that can be reached knows."""

    code = "MD6005"
    title = "outcome of the order unknown"
    remedy = SAME_KEY_REMEDY
    status = 502
    outcome = Outcome.UNKNOWN


class OrderExpired(MasticdeckError):
    """The key is older than the records that could settle it."""

    code = "MD6006"
    title = "order key older than the records kept"
    remedy = "ask the service itself whether the order exists"
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
    """The order ran and was answered, but the answer was too large to keep."""

    code = "MD6008"
    title = "the order ran; its answer was too large to keep"
    remedy = "ask the service itself for the order; do not send it again"
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

"""The operators' and customers' API of an entry, under ``/-/operators/``.

Bodies and answers are JSON; errors are problem documents with a code. Every
change carries an id chosen by the sender and may be repeated at any entry.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Annotated, Any

from aiohttp import web
from pydantic import Field, ValidationError

from masticdeck.coordination.acceptance import Acceptance, Change
from masticdeck.coordination.rollout import Rollout
from masticdeck.entry.operator_views import (
    accepted_view,
    delta_view,
    faults_view,
    ledger_view,
    outcome_view,
    status_view,
    touch_view,
)
from masticdeck.entry.problem import PROBLEM_TYPE, problem_document
from masticdeck.errors import MasticdeckError, RequestInvalid
from masticdeck.events import Code
from masticdeck.ids import CustomerId, ProposalId, Version
from masticdeck.node import Node
from masticdeck.protocol.identity import Authenticator, Identity, NotAllowed, Role
from masticdeck.protocol.store import Store
from masticdeck.registry import Registry
from masticdeck.state.acceptance import Proposal
from masticdeck.state.changes import make_delta, touched
from masticdeck.state.checks import ListsInvalid, read_lists
from masticdeck.state.deployment import Model
from masticdeck.state.lists import Lists

PREFIX = "/-/operators/"
DRAIN_PREFIX = "drains/"
MAX_BODY_BYTES = 2_000_000
BODY_TIMEOUT_S = 10.0
MAX_HISTORY = 100
DEFAULT_HISTORY = 20
NAME_PATTERN = r"^[\w.:-]{1,64}$"


class ListTexts(Model):
    """Both list files as text, with the names under which faults appear."""

    customers: str
    plans: str
    customers_file: str = "customers.jsonc"
    plans_file: str = "plans.jsonc"


class ProposalBody(ListTexts):
    """Body of a new proposal."""

    id: Annotated[str, Field(pattern=NAME_PATTERN)]
    base: Annotated[int, Field(ge=0)]
    note: Annotated[str, Field(max_length=1000)] = ""


class ReasonBody(Model):
    """Body of a veto."""

    reason: Annotated[str, Field(max_length=1000)] = ""


class OperatorRequest:
    """One request: who sent it, the path's parameters and the body."""

    def __init__(
        self, request: web.BaseRequest, identity: Identity, name: str, body: bytes
    ) -> None:
        self.query: Mapping[str, str] = request.query
        self.identity = identity
        self.name = name
        self.body = body

    def parse(self, model: type[Any]) -> Any:
        """Return the body as a model, or raise RequestInvalid with all faults."""
        try:
            return model.model_validate_json(self.body or b"{}")
        except ValidationError as error:
            faults = "; ".join(
                f"{'.'.join(str(part) for part in one['loc']) or 'body'}: {one['msg']}"
                for one in error.errors()
            )
            raise RequestInvalid(faults[:1000]) from None


Handler = Callable[["OperatorApi", OperatorRequest], Awaitable[Any]]
routes: Registry[Handler] = Registry("operator request")


class OperatorApi:
    """Answers the requests of operators and customers."""

    def __init__(
        self,
        node: Node,
        acceptance: Acceptance,
        rollout: Rollout,
        authenticator: Authenticator,
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.node = node
        self.acceptance = acceptance
        self.rollout = rollout
        self.authenticator = authenticator
        self.status = status

    @property
    def store(self) -> Store:
        """Return the platform's store."""
        return self.node.store

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        try:
            answer = await self.answer(request)
        except MasticdeckError as error:
            return error_answer(error)
        return web.json_response(answer)

    async def answer(self, request: web.BaseRequest) -> Any:
        """Authenticate, find the route and run it."""
        identity = self.authenticator.authenticate(request)
        route, name = match_route(request.method, request.path.removeprefix(PREFIX))
        body = await read_body(request)
        if request.method != "GET":
            self.node.events.emit(
                Code.OPERATOR_REQUEST, route=route, subject=name, by=identity.name
            )
        handler = routes.get(route)
        return await handler(self, OperatorRequest(request, identity, name, body))

    def read(self, texts: ListTexts) -> Lists:
        """Return the lists in a request's texts, or raise ListsInvalid."""
        return read_lists(
            texts.customers,
            texts.plans,
            self.node.deployment,
            customers_file=texts.customers_file,
            plans_file=texts.plans_file,
        )


@routes.register("GET status")
async def get_status(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return what this entry knows of versions, members and owners."""
    request.identity.require(Role.OPERATOR, Role.CUSTOMER)
    return status_view(api.node, api.rollout) | api.status()


@routes.register("GET configuration")
async def get_configuration(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return the accepted version and its lists."""
    request.identity.require(Role.OPERATOR)
    ledger = await api.acceptance.read_ledger()
    return {"version": ledger.version} | ledger.lists.model_dump(mode="json")


@routes.register("POST check")
async def post_check(api: OperatorApi, request: OperatorRequest) -> Any:
    """Check two lists and return what they would change and whom it touches."""
    request.identity.require(Role.OPERATOR)
    lists = api.read(request.parse(ListTexts))
    ledger = await api.acceptance.read_ledger()
    touches = touched(ledger.lists, lists, api.node.deployment)
    return {
        "base": ledger.version,
        "digest": lists.digest,
        "changes": delta_view(make_delta(ledger.lists, lists)),
        "touched": [touch_view(one) for one in touches],
    }


@routes.register("GET proposals")
async def get_proposals(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return the pending proposals, to a customer only those that touch it."""
    request.identity.require(Role.OPERATOR, Role.CUSTOMER)
    ledger = await api.acceptance.read_ledger()
    return ledger_view(ledger, api.node.deployment, request.identity.customer)


@routes.register("POST proposals")
async def post_proposal(api: OperatorApi, request: OperatorRequest) -> Any:
    """File a proposal."""
    request.identity.require(Role.OPERATOR)
    body: ProposalBody = request.parse(ProposalBody)
    change = Change(
        id=ProposalId(body.id),
        base=Version(body.base),
        lists=api.read(body),
        by=request.identity.name,
        note=body.note,
    )
    outcome = await api.acceptance.propose(change)
    return outcome_view(outcome)


@routes.register("GET proposals/*")
async def get_proposal(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return how one proposal stands."""
    request.identity.require(Role.OPERATOR, Role.CUSTOMER)
    outcome = await api.acceptance.find(ProposalId(request.name))
    customer = request.identity.customer
    if isinstance(outcome, Proposal) and customer is not None:
        if customer not in outcome.touched:
            raise NotAllowed("the proposal does not touch this customer")
        return outcome_view(outcome, customer)
    return outcome_view(outcome)


@routes.register("POST proposals/*/accept")
async def post_accept(api: OperatorApi, request: OperatorRequest) -> Any:
    """Accept a proposal, or ask for it at the end of its veto window."""
    request.identity.require(Role.OPERATOR)
    outcome = await api.acceptance.accept(
        ProposalId(request.name), by=request.identity.name
    )
    return outcome_view(outcome)


@routes.register("POST proposals/*/veto")
async def post_veto(api: OperatorApi, request: OperatorRequest) -> Any:
    """Stop a proposal in the name of the customer who asks."""
    request.identity.require(Role.CUSTOMER)
    body: ReasonBody = request.parse(ReasonBody)
    end = await api.acceptance.veto(
        ProposalId(request.name),
        customer=CustomerId(request.identity.name),
        reason=body.reason,
    )
    return outcome_view(end)


@routes.register("POST proposals/*/withdraw")
async def post_withdraw(api: OperatorApi, request: OperatorRequest) -> Any:
    """Take a proposal back."""
    request.identity.require(Role.OPERATOR)
    end = await api.acceptance.withdraw(
        ProposalId(request.name), by=request.identity.name
    )
    return outcome_view(end)


@routes.register("GET history")
async def get_history(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return the latest accepted versions, the newest first."""
    request.identity.require(Role.OPERATOR)
    text = request.query.get("limit", str(DEFAULT_HISTORY))
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_HISTORY:
        raise RequestInvalid(f"limit is not a number from 1 to {MAX_HISTORY}")
    history = await api.acceptance.read_history(limit=int(text))
    return {"versions": [accepted_view(one) for one in history]}


@routes.register("GET drains")
async def get_drains(api: OperatorApi, request: OperatorRequest) -> Any:
    """Return the instances and entries that operators have drained."""
    request.identity.require(Role.OPERATOR)
    listing = await api.store.list(DRAIN_PREFIX)
    return {"drains": [json.loads(item.value) for item in listing.items]}


@routes.register("PUT drains/*")
async def put_drain(api: OperatorApi, request: OperatorRequest) -> Any:
    """Drain an instance or an entry."""
    request.identity.require(Role.OPERATOR)
    deployment = api.node.deployment
    if request.name in deployment.instance_by_id:
        kind = "instance"
    elif request.name in deployment.entry_by_id:
        kind = "entry"
    else:
        raise RequestInvalid(f"no instance or entry {request.name!r}")
    document = {
        "id": request.name,
        "kind": kind,
        "by": request.identity.name,
        "at_s": round(time.time(), 3),
    }
    key = f"{DRAIN_PREFIX}{request.name}"
    await api.store.put(key, json.dumps(document).encode())
    return document


@routes.register("DELETE drains/*")
async def delete_drain(api: OperatorApi, request: OperatorRequest) -> Any:
    """End the drain of an instance or an entry."""
    request.identity.require(Role.OPERATOR)
    await api.store.delete(f"{DRAIN_PREFIX}{request.name}")
    return {"id": request.name}


def match_route(method: str, path: str) -> tuple[str, str]:
    """Return the route of a path and its name, or raise RequestInvalid.

    >>> match_route("POST", "proposals/cut/accept")
    ('POST proposals/*/accept', 'cut')
    """
    parts = path.strip("/").split("/")
    name = ""
    if len(parts) > 1:
        name, parts[1] = parts[1], "*"
    route = f"{method} {'/'.join(parts)}"
    if route not in routes.items or len(name) > 64:
        raise RequestInvalid(f"no such operator request {method} {path[:64]!r}")
    return route, name


async def read_body(request: web.BaseRequest) -> bytes:
    """Return a request's body, bounded in bytes and in time."""
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise RequestInvalid(f"the body is over {MAX_BODY_BYTES} bytes")
    pieces = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for piece in request.content.iter_any():
                pieces += piece
                if len(pieces) > MAX_BODY_BYTES:
                    raise RequestInvalid(f"the body is over {MAX_BODY_BYTES} bytes")
    except TimeoutError:
        raise RequestInvalid(f"the body took over {BODY_TIMEOUT_S:g} s") from None
    return bytes(pieces)


def error_answer(error: MasticdeckError) -> web.Response:
    """Return the problem document of an error, with the faults of lists."""
    document = json.loads(problem_document(error))
    if isinstance(error, ListsInvalid):
        document["faults"] = faults_view(error.faults)
    return web.json_response(document, status=error.status, content_type=PROBLEM_TYPE)

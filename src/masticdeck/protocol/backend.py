"""Requests to backend servers over HTTP, with the proof of what did not run.

Requests are put straight on a pooled connection: no cookies are kept, nothing
is redirected, and nothing is sent a second time, as ``ClientSession.request``
would do for PUT and DELETE on a connection that broke. What fails before the
connection is had is BackendNotReached; what fails after it is BackendBroken.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, Callable, Iterable
from typing import Any, final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientRequest,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
)
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

from masticdeck.clock import boottime
from masticdeck.errors import MasticdeckError
from masticdeck.ids import InstanceId, Outcome, Rank
from masticdeck.protocol import headers
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import Deployment, Instance
from masticdeck.transport.answers import AnswerConnector, InvalidStatus

KEEP_ALIVE_S = 30.0
CONNECT_TIMEOUT_S = 5.0
READ_BUFFER_BYTES = 16_384
MAX_FIELD_BYTES = 32_768
MAX_FIELDS = 256
MAX_QUOTED_CHARACTERS = 120
LIVES = 2
"""Incarnations of an entry whose connections an instance may hold at once."""

CONNECT_TIMEOUT = ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
PRIORITIES = {rank: headers.format_priority(rank) for rank in Rank}


class BackendNotReached(MasticdeckError):
    """No byte of the request was sent to the instance."""

    code = "MD3001"
    title = "backend server not reached"
    remedy = "check the instance's address and that it is running"
    status = 503
    outcome = Outcome.NOT_RUN


class BackendBroken(MasticdeckError):
    """The connection broke after bytes of the request were sent."""

    code = "MD3002"
    title = "backend server broke off"
    remedy = "repeat an idempotent request; ask for an order again with the same key"
    status = 502
    outcome = Outcome.UNKNOWN


@final
class BackendRequest(ClientRequest):
    """Request whose headers are sent as given, without the library's own."""

    def update_headers(self, headers: Any) -> None:
        """Take the headers over as they are, Host included."""
        self.headers = headers

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Add nothing."""


def connection_part(connections: int, entries: int) -> int:
    """Return how many connections to an instance one entry may hold.

    The parts of all entries together stay within ``connections``, also while
    the instance still holds those of an entry that died and was replaced.

    >>> connection_part(330, 9)
    18
    """
    return connections // (LIVES * entries)


class Backends:
    """Connections to all backend instances, kept alive between requests.

    ``see_draining`` is called when an answer says that its instance drains.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.session: ClientSession | None = None
        self.see_draining: Callable[[InstanceId], None] | None = None
        self.connectors: dict[int, AnswerConnector] = {}
        self.bases: dict[InstanceId, tuple[str, str, AnswerConnector]] = {}

    async def start(self) -> None:
        """Prepare the pools; connections open at first use."""
        for instance in self.deployment.instances:
            self.add(instance)
        self.session = ClientSession(connector=AnswerConnector(limit=0))

    def add(self, instance: Instance) -> None:
        """Prepare the pool of one instance."""
        part = connection_part(instance.connections, len(self.deployment.entries))
        connector = self.connectors.get(part)
        if connector is None:
            connector = self.connectors[part] = create_connector(part)
        host = f"{instance.host}:{instance.port}"
        self.bases[instance.id] = (f"http://{host}", host, connector)

    async def stop(self) -> None:
        """Close all connections."""
        for connector in self.connectors.values():
            await connector.close()
        self.connectors.clear()
        self.bases.clear()
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def send(
        self,
        instance_id: InstanceId,
        call: Call,
        fields: CIMultiDict[str],
        body: AsyncIterable[bytes] | bytes | None,
    ) -> ClientResponse:
        """Send a request and return the answer with its body unread.

        Takes ``fields`` over. Raises BackendNotReached when nothing was sent
        and BackendBroken after that; a cancelled request's connection is closed.
        """
        session = self.session
        if session is None:
            raise BackendNotReached("the backend connections are not started")
        base, host, connector = self.bases[instance_id]
        remaining_ms = int((call.deadline - boottime()) * 1000)
        fields[headers.HOST] = host
        fields[headers.TIMEOUT_MS] = str(max(0, remaining_ms))
        fields[headers.PRIORITY] = PRIORITIES[call.rank]
        request = BackendRequest(
            call.method,
            URL(base + call.path, encoded=True),
            headers=fields,
            data=body,
            session=session,
            loop=asyncio.get_running_loop(),
        )
        request_id = fields.get(headers.REQUEST_ID)
        answer = await exchange(request, connector, instance_id)
        if not is_own_answer(answer, request_id):
            answer.close()
            raise BackendBroken(f"{instance_id}: an answer to another request")
        if headers.DRAINING in answer.headers and self.see_draining is not None:
            self.see_draining(instance_id)
        return answer


def is_own_answer(answer: ClientResponse, request_id: str | None) -> bool:
    """Return whether an answer may be the one to the request with this id.

    A faulty instance may send an earlier answer once more. One that repeats the id of
    a request answers only that request, and a refusal has to repeat it: without the id
    it does not prove that this request did not run.
    """
    echoed_id = answer.headers.get(headers.REQUEST_ID)
    if echoed_id is None:
        return answer.headers.get(headers.OUTCOME) != Outcome.NOT_RUN.value
    return echoed_id == request_id


def create_connector(part: int) -> AnswerConnector:
    """Return a pool of at most ``part`` connections to each instance.

    An entry whose part is below one connection keeps none between requests;
    those in use are bounded by the slots that it holds.
    """
    if part < 1:
        return AnswerConnector(limit=0, force_close=True)
    return AnswerConnector(limit=0, limit_per_host=part, keepalive_timeout=KEEP_ALIVE_S)


async def take_connection(
    request: ClientRequest, connector: AnswerConnector
) -> Connection:
    """Return a pooled or a new connection on which no bytes have arrived.

    Bytes that arrived on an idle connection belong to no request. The library would
    return them as the answer to the next one.
    """
    while True:
        connection = await connector.connect(request, [], CONNECT_TIMEOUT)
        protocol = connection.protocol
        if protocol is None or not protocol.should_close:
            return connection
        connection.close()


def describe_broken(error: Exception) -> str:
    """Return why an answer is broken, with a bounded part of what the parser quotes."""
    if isinstance(error, ClientResponseError):
        return f"not an HTTP answer: {error.message[:MAX_QUOTED_CHARACTERS]}"
    if isinstance(error, InvalidStatus):
        return str(error)
    return type(error).__name__


async def exchange(
    request: ClientRequest, connector: AnswerConnector, instance: InstanceId
) -> ClientResponse:
    """Send a request over a pooled connection and return the answer's head."""
    try:
        connection = await take_connection(request, connector)
    except ClientConnectorError as error:
        raise BackendNotReached(f"{instance}: {error.os_error}") from error
    except (ClientError, OSError) as error:
        raise BackendNotReached(f"{instance}: {type(error).__name__}") from error
    try:
        protocol = connection.protocol
        if protocol is None:
            raise BackendNotReached(f"{instance}: the connection has closed")
        protocol.set_response_params(
            skip_payload=request.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
        )
        answer = await request.send(connection)
        return await answer.start(connection)
    except (ClientError, OSError, ValueError) as error:
        connection.close()
        raise BackendBroken(f"{instance}: {describe_broken(error)}") from error
    except BaseException:
        connection.close()
        raise

"""Requests to backend servers over HTTP, with the proof of what did not run."""

from __future__ import annotations

from collections.abc import AsyncIterable, Callable

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from multidict import CIMultiDict

from masticdeck.clock import boottime
from masticdeck.errors import MasticdeckError
from masticdeck.ids import InstanceId, Outcome
from masticdeck.protocol import headers
from masticdeck.protocol.call import Call
from masticdeck.state.deployment import Deployment

KEEP_ALIVE_S = 30.0


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


class Backends:
    """Connections to all backend instances, kept alive between requests.

    ``see_draining`` is called when an answer says that its instance drains.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.session: ClientSession | None = None
        self.see_draining: Callable[[InstanceId], None] | None = None

    async def start(self) -> None:
        """Open the session; connections open at first use."""
        connector = TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
        self.session = ClientSession(
            connector=connector,
            auto_decompress=False,
            timeout=ClientTimeout(total=None),
        )
        # aiohttp would send PUT and DELETE again by itself on a connection that
        # broke, also those with an Idempotency-Key.
        self.session._retry_connection = False

    async def stop(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    async def send(
        self,
        instance_id: InstanceId,
        call: Call,
        fields: CIMultiDict[str],
        body: AsyncIterable[bytes] | bytes | None,
    ) -> ClientResponse:
        """Send a request and return the answer with its body unread.

        Raises BackendNotReached when nothing was sent, BackendBroken after
        that, and TimeoutError at the call's deadline.
        """
        if self.session is None:
            raise BackendNotReached("the backend session is not started")
        instance = self.deployment.instance_by_id[instance_id]
        remaining = call.deadline - boottime()
        fields[headers.TIMEOUT_MS] = str(max(0, int(remaining * 1000)))
        fields[headers.PRIORITY] = headers.format_priority(call.rank)
        url = f"http://{instance.host}:{instance.port}{call.path}"
        try:
            answer = await self.session.request(
                call.method, url, headers=fields, data=body, allow_redirects=False
            )
        except ClientConnectorError as error:
            raise BackendNotReached(f"{instance_id}: {error.os_error}") from error
        except (ClientError, OSError) as error:
            raise BackendBroken(f"{instance_id}: {type(error).__name__}") from error
        if headers.DRAINING in answer.headers and self.see_draining is not None:
            self.see_draining(instance_id)
        return answer

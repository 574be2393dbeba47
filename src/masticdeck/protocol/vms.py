"""Client of the platform's list of live and leaving VMs, which lags."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, final

from aiohttp import ClientError, ClientSession, ClientTimeout

from masticdeck.errors import StoreAnswerInvalid, StoreUnavailable
from masticdeck.transport.answers import AnswerConnector, read_bounded

CALL_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16_777_216


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, slots=True)
class Vm:
    """One line of the platform's list; ``name`` is an entry or instance id."""

    name: str
    state: VmState


class VmList(Protocol):
    """The platform's list of VMs."""

    async def read(self) -> tuple[Vm, ...]:
        """Return the list; raises StoreUnavailable when there is no answer."""


class HttpVmList:
    """The list over HTTP."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.session: ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self.session = ClientSession(
            connector=AnswerConnector(), timeout=ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def read(self) -> tuple[Vm, ...]:
        """Return the list of VMs."""
        if self.session is None:
            raise StoreUnavailable("the VM list client is not started")
        try:
            async with self.session.get(f"{self.url}/v1/vms") as response:
                answer = json.loads(await read_bounded(response, MAX_ANSWER_BYTES))
            return tuple(
                Vm(str(vm["name"]), VmState(vm["state"])) for vm in answer["vms"]
            )
        except (TimeoutError, ClientError, OSError) as error:
            raise StoreUnavailable(f"vms: {type(error).__name__}") from error
        except (KeyError, TypeError, ValueError, RecursionError):
            raise StoreAnswerInvalid("vms: the list cannot be decoded") from None

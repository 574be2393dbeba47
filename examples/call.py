"""Looks up an entry, reads a page and places an order that runs at most once.

Run it against the demo: ``python examples/call.py http://127.0.0.1:18001``.
"""

from __future__ import annotations

import asyncio
import sys

from masticdeck.client import AnswerLost, Client
from masticdeck.ids import Rank, ServiceId


async def main(entries: list[str]) -> None:
    """Send one request and one order."""
    async with Client(entries) as client:
        page = await client.request("katalogs", "/spoons", rank=Rank.URGENT)
        print(page.status, page.entry, len(page.body), "bytes")
        key = await client.mint_key(ServiceId("pasutijumi"))
        try:
            order = await client.order(
                "pasutijumi", "/orders", body=b"a birch spoon", key=key
            )
        except AnswerLost as error:
            print(error)
            order = await client.order(
                "pasutijumi", "/orders", body=b"a birch spoon", key=key
            )
        print(order.status, order.outcome, order.body[:60])


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:] or ["http://127.0.0.1:18001"]))

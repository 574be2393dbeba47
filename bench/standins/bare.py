"""Baselines: an aiohttp handler of constant bytes and a relay with no policy.

Both are written in the ordinary way on ``web.Server``. ``GET /lookup`` answers
constant bytes; any other path goes to the instances of one service in turn,
streamed both ways, with end-to-end headers copied.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, TCPConnector, web

ANSWER = json.dumps(
    {
        "service": "katalogs",
        "ttl_s": 5.0,
        "entries": [
            {"id": f"entry-{number}", "url": f"http://127.0.0.1:1800{number}"}
            for number in range(1, 10)
        ],
    }
).encode()
HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)


class Relay:
    """Sends each request to the next instance and its answer back."""

    def __init__(self, urls: list[str], session: ClientSession) -> None:
        self.urls = itertools.cycle(urls)
        self.session = session

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == "/lookup":
            return web.Response(body=ANSWER, content_type="application/json")
        return await self.relay(request)

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass a request on, and its answer back piece by piece."""
        fields = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in HOP_BY_HOP and name.lower() != "host"
        }
        async with self.session.request(
            request.method,
            next(self.urls) + request.raw_path,
            headers=fields,
            data=request.content if request.body_exists else None,
            allow_redirects=False,
        ) as answer:
            kept = {
                name: value
                for name, value in answer.headers.items()
                if name.lower() not in HOP_BY_HOP
            }
            response = web.StreamResponse(status=answer.status, headers=kept)
            await response.prepare(request)
            async for piece in answer.content.iter_any():
                await response.write(piece)
            await response.write_eof()
            return response


async def serve(deployment: dict[str, Any], service: str, port: int) -> None:
    """Serve until cancelled."""
    urls = [
        f"http://{one['host']}:{one['port']}"
        for one in deployment["instances"]
        if one["service"] == service
    ]
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, auto_decompress=False) as session:
        relay = Relay(urls, session)
        runner = web.ServerRunner(web.Server(relay.handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is told to stop."""
    os.environ["UV_USE_IO_URING"] = "0"
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", type=Path, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    import uvloop

    deployment = json.loads(arguments.deployment.read_text(encoding="utf-8"))
    uvloop.run(serve(deployment, arguments.service, arguments.port))


if __name__ == "__main__":
    main()

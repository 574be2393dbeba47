"""The soak keeps track of every process that it starts."""

from __future__ import annotations

import asyncio

import psutil

from soak.proxy import FaultProxy
from soak.world import Entry


async def test_entry_restarted_by_two_faults_at_once_runs_once(tmp_path):
    proxy = FaultProxy("127.0.0.1:1")
    await proxy.start()
    entry = Entry("entry-0", tmp_path, proxy, "cesis-a")
    try:
        await asyncio.gather(entry.start(), entry.start())
        own = psutil.Process().children()
        assert [one.pid for one in own] == [entry.process.pid]
        assert entry.starts == 1
    finally:
        entry.process.kill()
        await entry.process.wait()
        proxy.stop()

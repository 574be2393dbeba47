"""A key is withdrawn shortly after the store came back from a copy."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Lab, main, route

REVOKE_S = 5.0
COPY_AGE_S = 5.0
AWAY_S = 1.0
OBSERVED_S = 20.0

BOUNDS = {
    "grace_period": "6s",
    "config_propagation": "3000ms",
    "stable_window": "4000ms",
    "strict_revocation": True,
    "revoke": "5000ms",
    "retry_budget_ratio": 0.2,
    "budget_slack": 172,
    "budget_window": "10s",
    "quota_window": "5s",
    "quota_overage": 0.1,
    "quota_slack": 20,
}

KEPT, WITHDRAWN = "key-kept", "key-withdrawn"


async def case(lab: Lab) -> int:
    """Return whether a withdrawn key is still accepted after the bound."""
    for number in range(6):
        await lab.add_instance(f"i-{number}", "ledger")
    entries = []
    keys = [KEPT, WITHDRAWN]
    routes = [route("/book/", "ledger", kind="unsafe")]

    def configure(version: int, held: list[str], paths: list[dict]) -> float:
        tenants = [{"name": "tenant-1", "api_keys": held}]
        return lab.configure(version, paths, tenants=tenants)

    configure(3, keys, routes)
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
        entries.append(await lab.add_entry(f"entry-{number}", zone=zone, bounds=BOUNDS))
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(8.0)
    for entry in entries:
        for key in keys:
            answer = await lab.ask(entry, "/book/1", method="POST", body=b"x", key=key)
            if answer.status != 200:
                raise CouldNotRun(f"status {answer.status} before the disruption")

    second = [*routes, route("/peek/", "ledger")]
    configure(5, keys, second)
    await asyncio.sleep(1.0)
    if TROUBLE:
        await lab.store.come_back_from_copy(COPY_AGE_S, AWAY_S)
        await asyncio.sleep(0.3)
        configure(5, keys, second)
    else:
        await asyncio.sleep(AWAY_S + 0.3)
    await asyncio.sleep(0.7)
    acknowledged_at = configure(9, [KEPT], second)

    late_ids: dict[str, float] = {}
    statuses: dict[str, list[int]] = {KEPT: [], WITHDRAWN: []}
    while lab.record.now() < acknowledged_at + OBSERVED_S:
        for entry in entries:
            for key in keys:
                answer = await lab.ask(
                    entry, "/book/2", method="POST", body=b"x", key=key
                )
                if answer.sent_at > acknowledged_at + REVOKE_S:
                    statuses[key].append(answer.status)
                    if key == WITHDRAWN:
                        late_ids[answer.id] = answer.sent_at - acknowledged_at
        await asyncio.sleep(0.25)
    ran = [run for run in lab.runs if run.id in late_ids]
    lab.record.add(
        f"requests with the withdrawn key, sent over {REVOKE_S} s after the"
        f" acknowledgement: {len(late_ids)}; run: {len(ran)}; last one sent"
        f" {max((late_ids[run.id] for run in ran), default=0.0):.1f} s after it",
        show=True,
    )
    lab.record.add(
        f"answers with the kept key: {sorted(set(statuses[KEPT]))}", show=True
    )
    lab.record.add(
        f"answers with the withdrawn key: {sorted(set(statuses[WITHDRAWN]))}", show=True
    )
    return BROKEN if ran else HELD


if __name__ == "__main__":
    sys.exit(main(case, __file__))

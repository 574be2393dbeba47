"""The owner's side of shares for one region: takeover, grants and recalls."""

from __future__ import annotations

import asyncio
import json
import logging
from contextlib import suppress

from grpclib.exceptions import GRPCError, StreamTerminatedError

from masticdeck.clock import boottime
from masticdeck.coordination.owner_session import OwnerSession
from masticdeck.coordination.ownership import Fence, Ownership
from masticdeck.coordination.share_balance import balance
from masticdeck.coordination.share_ledger import (
    CLOCK_MARGIN_S,
    DISCONNECT_NOTICE_S,
    HolderRecord,
    UnitLedger,
)
from masticdeck.coordination.units import decode_units
from masticdeck.errors import MasticdeckError
from masticdeck.events import Code
from masticdeck.ids import EntryId, FencingToken, Incarnation, RegionId, Revision
from masticdeck.node import Node
from masticdeck.protocol.generated.shares_grpc import SharesStub
from masticdeck.protocol.generated.shares_pb2 import (
    ReadBackAnswer,
    ReadBackRequest,
    Report,
)
from masticdeck.protocol.store import ABSENT

CHECK_INTERVAL_S = 0.1
BALANCE_DELAY_S = 0.003
READ_BACK_TIMEOUT_S = 1.0
READ_BACK_RETRY_DELAY_S = 0.2
RECORD_RETRY_DELAY_S = 0.2
READ_BACK_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class RegionOwner:
    """Maintains the unit ledger of a region while this node owns it.

    When the token changes, the ledger starts empty and is rebuilt by reading
    back from every entry. Units that no entry claims stay unused until all
    entries have answered or are known to have ended, or until every grant of
    an earlier owner and every request under it must have ended.
    """

    def __init__(self, node: Node, region: RegionId, ownership: Ownership) -> None:
        self.node = node
        self.region = region
        self.name = ownership.name
        self.ownership = ownership
        self.fence = Fence()
        self.token = FencingToken(0)
        self.ledger = UnitLedger(node.deployment, region)
        self.sessions: dict[EntryId, OwnerSession] = {}
        self.unsettled_entries: set[EntryId] = set()
        self.reported_entries: set[EntryId] = set()
        self.settle_deadline = 0.0
        self.settled = False
        self.owner_recorded = False
        self.check_needed = asyncio.Event()
        self.acting_without_store = False
        self.prior_owner: EntryId | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.balance_timer: asyncio.TimerHandle | None = None

    def may_grant(self) -> bool:
        """Return whether this node may grant at this moment.

        With an expired lease it may continue while the store is unavailable,
        because no other entry can acquire the region then, but for no longer
        than ``share_outage_s``.
        """
        if not self.token or self.token != self.ownership.token:
            return False
        if self.fence.highest_tokens.get(self.name, FencingToken(0)) > self.token:
            return False
        if self.ownership.is_valid():
            self.acting_without_store = False
            return True
        may_continue = self.ownership.may_act_without_store(
            self.node.config.share_outage_s
        )
        if may_continue and not self.acting_without_store:
            self.acting_without_store = True
            self.node.events.emit(
                Code.SHARES_OUTLAST_STORE, level=logging.WARNING, region=self.region
            )
        return may_continue

    def grant_validity_s(self) -> float:
        """Return the validity of grants, which is longer in a store outage."""
        config = self.node.config
        if self.ownership.store_failing:
            return config.share_outage_ttl_s
        return config.share_ttl_s

    async def run(self) -> None:
        """Follow the ownership and check for expired grants until cancelled."""
        while True:
            if self.token != self.ownership.token:
                self.change_token(self.ownership.token)
            if self.token:
                self.check_expiry()
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.check_needed.wait()
            self.check_needed.clear()

    async def stop(self) -> None:
        """End every session and task."""
        self.change_token(FencingToken(0))
        if self.balance_timer is not None:
            self.balance_timer.cancel()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def change_token(self, token: FencingToken) -> None:
        """End all sessions, then take over with the token unless it is 0."""
        for session in list(self.sessions.values()):
            session.end()
        self.sessions.clear()
        if self.token and not token:
            self.node.events.emit(Code.SHARES_STOPPED, region=self.region)
        self.token = token
        if token:
            self.take_over()

    def take_over(self) -> None:
        """Start an empty ledger and read back the granted units from every entry."""
        leaving_instances = self.ledger.leaving_instances
        self.ledger = UnitLedger(self.node.deployment, self.region)
        self.ledger.leaving_instances = leaving_instances
        self.settled = False
        self.owner_recorded = False
        self.reported_entries = set()
        self.unsettled_entries = {entry.id for entry in self.node.deployment.entries}
        config = self.node.config
        self.settle_deadline = (
            boottime() + config.share_outage_s + self.max_grant_lifetime_s
        )
        self.node.events.emit(
            Code.SHARES_TAKEN_OVER, region=self.region, token=self.token
        )
        self.spawn_task(self.record_owner(self.token))
        for entry in sorted(self.unsettled_entries):
            self.spawn_task(self.read_back(entry, self.token))

    @property
    def max_grant_lifetime_s(self) -> float:
        """Return how long a grant and the requests under it can last."""
        config = self.node.config
        valid_s = max(config.share_ttl_s, config.share_outage_ttl_s)
        return valid_s + self.ledger.max_agreed_wait_s + CLOCK_MARGIN_S

    def spawn_task(self, coroutine: object) -> None:
        """Run a coroutine as a task that is cancelled by ``stop``."""
        task: asyncio.Task[None] = asyncio.create_task(coroutine)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def record_owner(self, token: FencingToken) -> None:
        """Record this node as the latest owner and read which one was before.

        Without an earlier record no unit has ever been granted.
        """
        key = f"shares/{self.region}"
        value = json.dumps({"entry": self.node.id, "token": token}).encode()
        prior: EntryId | None = None
        prior_read = False
        while self.token == token:
            try:
                item = await self.node.store.get(key)
                if item is not None and item.value == value:
                    break
                if not prior_read:
                    prior_read = True
                    prior = EntryId(json.loads(item.value)["entry"]) if item else None
                expect: Revision = item.revision if item else ABSENT
                await self.node.store.put(key, value, expect=expect)
                break
            except MasticdeckError:
                await asyncio.sleep(RECORD_RETRY_DELAY_S)
        if self.token == token:
            self.set_prior_owner(prior)

    def set_prior_owner(self, prior: EntryId | None) -> None:
        """Set the previous owner of the region, or None if there was none."""
        self.owner_recorded = True
        self.prior_owner = prior
        if prior is None:
            self.settle_deadline = boottime()
        self.shorten_settle_deadline()

    def shorten_settle_deadline(self) -> None:
        """Bring the deadline forward once the previous owner grants no more.

        From then on only its last grants have to run out.
        """
        if (
            self.prior_owner is not None
            and self.prior_owner not in self.unsettled_entries
        ):
            self.settle_deadline = min(
                self.settle_deadline, boottime() + self.max_grant_lifetime_s
            )

    async def read_back(self, entry: EntryId, token: FencingToken) -> None:
        """Request the held units of an entry until it answers or has ended.

        A refused connection shows that its process has ended.
        """
        request = ReadBackRequest(region=self.region, token=token)
        while self.token == token and not self.settled:
            try:
                stub = SharesStub(self.node.peers.get(entry))
                answer = await stub.ReadBack(request, timeout=READ_BACK_TIMEOUT_S)
            except ConnectionRefusedError:
                await asyncio.sleep(DISCONNECT_NOTICE_S)
                break
            except READ_BACK_ERRORS:
                await asyncio.sleep(READ_BACK_RETRY_DELAY_S)
                continue
            self.handle_read_back(entry, token, answer)
            return
        self.settle_entry(entry, token)

    def handle_read_back(
        self, entry: EntryId, token: FencingToken, answer: ReadBackAnswer
    ) -> None:
        """Claim the units that an entry reports in its answer.

        Ignored if the entry has sent a full report since, which is newer.
        """
        if self.token != token or not answer.accepted:
            return
        if entry not in self.reported_entries:
            now = boottime()
            incarnation = Incarnation(answer.incarnation)
            holder = self.ledger.get_or_create_holder(entry, incarnation, now)
            self.ledger.record_grant_validity(holder, now + answer.valid_ms / 1000)
            self.ledger.claim_units(holder, decode_units(answer.units))
        self.settle_entry(entry, token)

    def settle_entry(self, entry: EntryId, token: FencingToken) -> None:
        """Record that an entry accepts no more grants of earlier owners."""
        if self.token == token:
            self.unsettled_entries.discard(entry)
            self.shorten_settle_deadline()
            self.check_expiry()

    def check_expiry(self) -> None:
        """Free the units that no entry can hold any more and rebalance."""
        now = boottime()
        can_settle = not self.unsettled_entries or now > self.settle_deadline
        if self.owner_recorded and can_settle and not self.settled:
            self.settled = True
            self.ledger.free_unknown_units()
            self.node.events.emit(Code.SHARES_SETTLED, region=self.region)
        for holder in self.ledger.expire_grants(now):
            self.node.events.emit(
                Code.SHARES_EXPIRED, region=self.region, entry=holder.id
            )
            session = self.sessions.get(holder.id)
            if session is not None:
                session.end()
        self.schedule_balance()

    def schedule_balance(self) -> None:
        """Schedule one balancing round for all reports within BALANCE_DELAY_S."""
        if self.balance_timer is None:
            loop = asyncio.get_running_loop()
            self.balance_timer = loop.call_later(BALANCE_DELAY_S, self.rebalance)

    def rebalance(self) -> None:
        """Run a balancing round and pass its result to the sessions."""
        self.balance_timer = None
        if not self.may_grant():
            return
        plan = balance(self.ledger)
        for entry, session in self.sessions.items():
            session.apply_plan(
                plan.granted.get(entry, set()),
                plan.idle_recalls.get(entry, {}),
                plan.busy_recalls.get(entry, {}),
            )

    def open_session(self, report: Report, session: OwnerSession) -> HolderRecord:
        """Replace the session of a holder and claim the units it reports."""
        entry = EntryId(report.entry)
        now = boottime()
        previous = self.sessions.get(entry)
        if previous is not None:
            previous.end()
        holder = self.ledger.get_or_create_holder(
            entry, Incarnation(report.incarnation), now
        )
        self.reported_entries.add(entry)
        claimed_units = decode_units(report.units)
        refused_units = self.ledger.claim_units(holder, claimed_units)
        if refused_units:
            session.units_to_recall |= refused_units
            self.node.events.emit(
                Code.SHARES_CONFLICT,
                level=logging.WARNING,
                region=self.region,
                entry=entry,
                units=len(refused_units),
            )
        holder.connected = True
        self.sessions[entry] = session
        return holder

    def close_session(self, session: OwnerSession) -> None:
        """Remove an ended session and probe its holder if it has units."""
        if self.sessions.get(session.entry) is session:
            del self.sessions[session.entry]
            session.holder.connected = False
            if session.holder.units and self.token:
                self.spawn_task(self.probe_holder(session.holder))

    async def probe_holder(self, holder: HolderRecord) -> None:
        """Probe a disconnected holder until it returns, ends or has no units.

        A refused connection shows that its process has ended.
        """
        node = self.node.deployment.entry_by_id[holder.id]
        token = self.token
        while (
            self.token == token
            and not holder.connected
            and holder.units
            and self.ledger.holders.get(holder.id) is holder
        ):
            try:
                _, writer = await asyncio.open_connection(node.host, node.peer_port)
                writer.close()
            except ConnectionRefusedError:
                self.ledger.quarantine_units(holder, boottime())
                return
            except OSError:
                pass
            await asyncio.sleep(READ_BACK_RETRY_DELAY_S)

"""The mechanisms of an entry on a live fleet, each with its test."""

from __future__ import annotations

from scripts.mutant import Mutant

SOURCE = "src/masticdeck"
FORWARD = "testing/gateway/test_forward.py"
STRAY = "testing/gateway/test_stray_responses.py"
BACKEND = "testing/protocol/test_backend.py"
NOTICES = "testing/gateway/test_notices.py"
RETRIES = "testing/coordination/test_retry_budget.py"
CHANGES = "testing/gateway/test_fleet_changes.py"
QUOTAS = "testing/coordination/test_quotas.py"
QUOTA_SOURCE = f"{SOURCE}/coordination/quotas"
QUOTA_PROMISE = "a workspace sends no more than its quota over all entries"
WORKSPACES = "testing/gateway/test_workspaces.py"
FRESHNESS = "testing/coordination/test_freshness.py"
KEYS = "testing/platform/test_keys.py"
QUEUEING = "testing/coordination/test_queueing.py"
QUEUEING_SOURCE = f"{SOURCE}/coordination/queueing"

RESTORATION = "testing/coordination/test_restoration.py"
RESTORED = "testing/gateway/test_store_restored.py"
ORDERS = "testing/coordination/test_instance_orders.py"
COLD = "testing/gateway/test_cold_instances.py"
COLD_PROMISE = "no cold instance is flooded while the store is away"
RESTORED_PROMISE = "a store that comes back from a copy undoes nothing that is known"

SLOW_CALLER = (
    "testing/transport/test_connection_end.py"
    "::test_answer_in_the_kernel_reaches_a_slow_caller_that_sends_on"
)
LINKS = "testing/transport/test_link_check.py"
ORDER_PROMISE = "an older report of an instance undoes no newer one"
RECORD_ORDER = "testing/coordination/test_record_order.py"
LATE_REPORT = "test_older_report_that_arrives_late_undoes_no_newer_one"

GATEWAY_MUTANTS = (
    Mutant(
        promise=ORDER_PROMISE,
        mechanism="a report that is older than the known one is held back",
        file=f"{SOURCE}/coordination/record_order/order.py",
        old="            return order < known_order",
        new="            return False",
        test=f"{RECORD_ORDER}::{LATE_REPORT}",
    ),
    Mutant(
        promise=ORDER_PROMISE,
        mechanism="a removal keeps its order",
        file=f"{SOURCE}/coordination/record_order/order.py",
        old="        if removed is None or removed.order is None:",
        new="        if True:",
        test=f"{RECORD_ORDER}::{LATE_REPORT}",
    ),
    Mutant(
        promise=ORDER_PROMISE,
        mechanism="all changes of an instance count, not the last one only",
        file=f"{SOURCE}/coordination/feed.py",
        old="        if rules.find(change.key).late_write_s:",
        new="        if False:",
        test=f"{RECORD_ORDER}::{LATE_REPORT}",
    ),
    Mutant(
        promise=ORDER_PROMISE,
        mechanism="a held report is used after a bounded time",
        file=f"{SOURCE}/coordination/record_order/order.py",
        old="        return held_s >= rule.late_write_s",
        new="        return False",
        test=f"{RECORD_ORDER}"
        "::test_instance_whose_clock_was_set_back_is_used_although_it_reports_on",
    ),
    Mutant(
        promise=ORDER_PROMISE,
        mechanism="a probe's answer counts from when it was sent",
        file=f"{SOURCE}/coordination/drains.py",
        old="self.node.clock.stamp() if asked_at is None else asked_at",
        new="self.node.clock.stamp()",
        test="testing/coordination/test_drains.py"
        "::test_health_answer_undoes_no_drain_that_was_reported_after_the_probe",
    ),
    Mutant(
        promise="no process runs out of memory over ordinary requests",
        mechanism="the least recently used order is discarded",
        file=f"{SOURCE}/coordination/instance_orders.py",
        old="        if len(self.owners) > MAX_KEPT_ORDERS:",
        new="        if False:",
        test=f"{ORDERS}::test_orders_of_many_keys_take_a_bounded_amount_of_memory",
    ),
    Mutant(
        promise=COLD_PROMISE,
        mechanism="an instance that may be cold is closed to what exceeds its bound",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        return limiter is None or limiter.accepts(instance, now)",
        new="        return True",
        test=f"{COLD}"
        "::test_instance_that_becomes_cold_while_the_store_is_down_is_not_flooded",
    ),
    Mutant(
        promise=COLD_PROMISE,
        mechanism="a failing store is a doubt at once",
        file=f"{SOURCE}/coordination/warmth/confirmation.py",
        old="        if self.replica.is_store_failing:",
        new="        if False:",
        test="testing/coordination/test_warmth.py"
        "::TestConfirmation::test_failure_of_the_store_is_a_doubt_until_it_answers",
    ),
    Mutant(
        promise=COLD_PROMISE,
        mechanism="followers learn that the store fails at their source",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="        store_failing=update.is_store_failing,\n",
        new="",
        test="testing/coordination/test_feed_peers.py"
        "::test_follower_learns_at_once_that_the_store_fails_at_its_source",
    ),
    Mutant(
        promise=COLD_PROMISE,
        mechanism="entries with less than a request in a window send in turn",
        file=f"{SOURCE}/coordination/warmth/limiter.py",
        old="        return SendLimit(1, gap_s, now + fraction * gap_s)",
        new="        return SendLimit(1)",
        test="testing/coordination/test_warmth.py"
        "::test_instance_that_got_more_than_a_cold_one_bears_gets_no_more_than_that",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="positions order by era",
        file=f"{SOURCE}/protocol/positions.py",
        old="        self.advance_to(era)\n        return era",
        new="        return NO_ERA",
        test=f"{RESTORED}"
        "::test_key_withdrawn_after_the_store_came_back_from_a_copy_is_refused",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="an older record of the copy is held back",
        file=f"{SOURCE}/coordination/feed.py",
        old="            if verdict in (Verdict.HOLD_COPY, Verdict.HOLD_LATE):",
        new="            if False:",
        test=f"{RESTORATION}::test_value_in_use_after_a_restoration",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="a record that is missing in the copy is kept",
        file=f"{SOURCE}/coordination/feed.py",
        old="            and not is_unrestored(item, revision)\n",
        new="",
        test=f"{RESTORATION}::test_value_in_use_after_a_restoration",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="leases end with their era",
        file=f"{SOURCE}/protocol/positions.py",
        old="        if granted_in < era:",
        new="        if False:",
        test="testing/platform/test_store.py"
        "::TestEras::test_lease_of_an_earlier_era_renews_and_ends_no_other",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="conditions end with their era",
        file=f"{SOURCE}/protocol/positions.py",
        old="        if NO_ERA < era_of(position) < self.era:",
        new="        if False:",
        test="testing/platform/test_store.py"
        "::TestEras::test_condition_of_an_earlier_era_is_never_sent",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="signals are handled before the first slow import",
        file=f"{SOURCE}/programs/early_signals.py",
        old="        signal.signal(signal.SIGHUP, signal.SIG_IGN)",
        new="        pass",
        test="testing/programs/test_gateway.py"
        "::test_reloads_during_the_start_do_not_end_the_process",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="a body is kept in one buffer",
        file=f"{SOURCE}/transport/http1_server.py",
        old="        self.body += body",
        new="        self.body = [*self.body, body]  # type: ignore",
        test="testing/transport/test_http1_server.py"
        "::test_upload_in_tiny_chunks_takes_no_more_memory_than_its_bytes",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="small parts of a body are joined",
        file=f"{SOURCE}/transport/http1_client.py",
        old="        if self.chunks and len(self.chunks[-1]) < MIN_CHUNK_BYTES:",
        new="        if False:",
        test="testing/transport/test_http1_client.py"
        "::test_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="no more is read of a body that nobody reads",
        file=f"{SOURCE}/transport/http1_client.py",
        old="        if self.unparsed or self.buffered >= MAX_BUFFERED_BYTES:",
        new="        if self.unparsed:",
        test="testing/transport/test_http1_client.py"
        "::test_body_that_nobody_reads_is_not_collected",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="many small parts are parsed in several turns",
        file=f"{SOURCE}/transport/http1_client.py",
        old="            elif self.turn_parts >= MAX_PARTS_PER_TURN:",
        new="            elif False:",
        test="testing/transport/test_http1_client.py"
        "::test_body_in_tiny_chunks_leaves_other_connections_their_turns",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a connection is read until its caller has the last answer",
        file=f"{SOURCE}/transport/connection_end/ending.py",
        old="        if not delivery.held_bytes and waited_s > LINGER_S:",
        new="        if not delivery.held_bytes:",
        test="testing/transport/test_http1_server.py"
        "::TestOrder::test_answer_is_not_reset_by_requests_that_follow_it",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="an answer in the kernel counts as under way",
        file=f"{SOURCE}/transport/http1_server.py",
        old="        return count or int(self.ending.undelivered_bytes() > 0)",
        new="        return count",
        test=SLOW_CALLER,
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="what precedes a broken answer is delivered before the reset",
        file=f"{SOURCE}/transport/connection_end/states.py",
        old="    (S.OPEN, E.ANSWER_BROKEN): (S.CUTTING, Action.NONE),",
        new="    (S.OPEN, E.ANSWER_BROKEN): (S.CLOSED, Action.RESET),",
        test=SLOW_CALLER,
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="the other program's connections end by the same table",
        file=f"{SOURCE}/transport/connection_end/transport.py",
        old="        if is_recent or self.ending.undelivered_bytes():",
        new="        if False:",
        test="testing/transport/test_connection_end.py"
        "::test_last_answer_of_the_other_program_is_not_reset_by_further_requests",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a caller that sends on is not read without end",
        file=f"{SOURCE}/transport/connection_end/states.py",
        old="    (S.LINGERING, E.LINGER_TIME_OVER): (S.CLOSED, Action.CLOSE),",
        new="",
        test="testing/transport/test_connection_end.py"
        "::test_caller_that_sends_on_is_not_read_without_end",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="an entry that starts asks others what they knew",
        file=f"{SOURCE}/coordination/feed.py",
        old="        if era_of(listing.revision) <= FIRST_ERA:",
        new="        if True:",
        test=f"{RESTORED}::test_key_withdrawn_before_the_restoration"
        "_is_refused_by_an_entry_added_later",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="without anyone to ask, the copy proves nothing for a while",
        file=f"{SOURCE}/coordination/feed.py",
        old="        self.replica.lacks_past = update is None",
        new="        self.replica.lacks_past = False",
        test=f"{RESTORED}::test_entry_added_after_the_restoration"
        "_uses_no_key_if_nobody_can_tell",
    ),
    Mutant(
        promise=RESTORED_PROMISE,
        mechanism="an entry that knows no more than the store is not believed",
        file=f"{SOURCE}/coordination/joining/recall.py",
        old="        return update if is_recent else None",
        new="        return update",
        test="testing/coordination/test_recall.py",
    ),
    Mutant(
        promise="a request at work is not broken off",
        mechanism="a full window is not taken for a dead link",
        file=f"{SOURCE}/transport/link_check.py",
        old="        if figures.lost_probes > MAX_LOST_PROBES:",
        new="        if True:",
        test=f"{LINKS}::test_instance_that_pauses_within_a_body"
        "_is_not_taken_for_a_dead_link",
    ),
    Mutant(
        promise="a request at work is not broken off",
        mechanism="the age of an acknowledgement counts from the request",
        file=f"{SOURCE}/transport/link_check.py",
        old="    silent_s = min(waited_s, figures.since_ack_s)",
        new="    silent_s = figures.since_ack_s",
        test=f"{LINKS}::test_state_of_a_link",
    ),
    Mutant(
        promise="a request whose instance is gone goes to another one",
        mechanism="a dead link is found behind a full window",
        file=f"{SOURCE}/transport/link_check.py",
        old="        if figures.lost_probes > MAX_LOST_PROBES:",
        new="        if False:",
        test=f"{LINKS}::test_link_that_dies_behind_a_full_window_breaks_the_exchange",
    ),
    Mutant(
        promise="a request whose instance is gone goes to another one",
        mechanism="a dead link is found by what it does not acknowledge",
        file=f"{SOURCE}/transport/link_check.py",
        old="    if silent_s >= UNACKED_S and figures.retransmissions:",
        new="    if False:",
        test=f"{LINKS}::test_dead_link_breaks_the_exchange_within_a_bound",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="an interim answer waits for the answers before it",
        file=f"{SOURCE}/transport/http1_server.py",
        old="self.expects_continue and not self.answering and not self.waiting:",
        new="self.expects_continue:",
        test="testing/transport/test_http1_server.py"
        "::TestOrder::test_interim_answer_waits_for_the_answer_before_it",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="an instance that says it leaves is left out",
        file=f"{SOURCE}/state/fleet.py",
        old="                and instance.incarnation not in self.leaving\n",
        new="",
        test=f"{NOTICES}::TestLeaving::test_instance_gets_no_further_requests",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="a notice concerns one incarnation",
        file=f"{SOURCE}/state/fleet.py",
        old="        return self.id, self.born_ms",
        new="        return self.id, 0",
        test=f"{NOTICES}::TestLeaving::test_new_incarnation_under_the_same_id_is_used",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="a misdirection says nothing of the instance",
        file=f"{SOURCE}/gateway/attempt.py",
        old="        if not response_headers.misdirected and request_id == (",
        new="        if request_id == (",
        test=f"{NOTICES}"
        "::TestLeaving::test_misdirected_request_says_nothing_of_its_instance",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="an evacuation that was not seen leaves cold instances",
        file=f"{SOURCE}/coordination/fleet_view.py",
        old="        if kind is RecordKind.EVACUATION:\n            self.end_",
        new="        if kind is RecordKind.OTHER:\n            self.end_",
        test="testing/gateway/test_cold_instances.py"
        "::test_evacuation_that_ended_before_it_was_seen_leaves_instances_cold",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a resting instance counts as full",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="        return now >= self.resting_until and (",
        new="        return (",
        test=f"{NOTICES}::TestResting::test_instance_gets_nothing_until_its_rest_ends",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="few requests follow a rest at first",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="        load.ramp_limit = RAMP_START_REQUESTS",
        new="        load.ramp_limit = None",
        test=f"{NOTICES}"
        "::TestResting::test_first_requests_after_a_rest_are_few_and_grow",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="entries begin a split at different positions",
        file=f"{SOURCE}/coordination/split.py",
        old="        return int(self.order.fraction(route) * FIRST_POSITIONS)",
        new="        return 0",
        test="testing/coordination/test_split.py"
        "::test_first_requests_of_all_entries_do_not_go_to_one_service",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a split begins at the place of this entry",
        file=f"{SOURCE}/gateway/app.py",
        old="            traffic_split=TrafficSplit(self.entry_order),",
        new="            traffic_split=TrafficSplit(),",
        test=f"{CHANGES}::test_first_request_of_a_split_follows_the_place_of_the_entry",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="entries return one after the other when a rest ends",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="        return place * run_time_s / load.slots",
        new="        return 0.0 * place * run_time_s / load.slots",
        test="testing/coordination/test_return_after_rest.py"
        "::test_entries_do_not_return_to_an_instance_together",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a rest notice holds until the turn of this entry",
        file=f"{SOURCE}/gateway/forwarder.py",
        old="                delay_s=self.instance_loads.return_delay_s(instance),",
        new="                delay_s=0.0,",
        test=f"{NOTICES}"
        "::TestResting::test_entry_returns_in_its_turn_among_all_entries",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a request that a rest outlasts is refused at once",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        return resting_until <= now or resting_until <= min(\n"
        "            request.queue_until, self.latest_start(request, instance)\n"
        "        )",
        new="        return True",
        test=f"{NOTICES}::TestResting"
        "::test_request_is_refused_at_once_while_all_rest_for_too_long",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a rest is no failure",
        file=f"{SOURCE}/gateway/attempt.py",
        old="        return AttemptStatus.RESTING",
        new="        return AttemptStatus.SHED",
        test=f"{NOTICES}::TestResting::test_rest_is_no_failure_of_the_instance",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a connection that ends within a head breaks the exchange",
        file=f"{SOURCE}/transport/http1_client.py",
        old="            self.fail("
        '"the connection ended" if exc is None else str(exc))',
        new="            self.complete = True\n"
        "            if self.head is not None and not self.head.done():\n"
        "                self.head.set_result(AnswerHead(200, b'', self.headers, 0))",
        test="testing/transport/test_http1_client.py"
        "::test_answer_that_ends_within_its_head_is_broken",
    ),
    Mutant(
        promise="an odd record harms nothing else",
        mechanism="the address of an instance is checked",
        file=f"{SOURCE}/platform/records.py",
        old='    if match is None or not 0 < int(match["port"]) <= MAX_PORT:',
        new="    if match is None:",
        test="testing/gateway/test_odd_records.py::test_odd_record_names_no_instance",
    ),
    Mutant(
        promise="an odd record harms nothing else",
        mechanism="numbers that are too large are errors of the record",
        file=f"{SOURCE}/protocol/records.py",
        old="    ArithmeticError,\n",
        new="",
        test="testing/gateway/test_odd_records.py"
        "::test_odd_record_of_an_entry_is_invalid",
    ),
    Mutant(
        promise="an odd record harms nothing else",
        mechanism="nesting that is too deep is an error of the record",
        file=f"{SOURCE}/protocol/records.py",
        old="    RecursionError,\n",
        new="",
        test="testing/gateway/test_odd_records.py"
        "::test_entry_serves_and_follows_on_among_odd_records",
    ),
    Mutant(
        promise="an odd record harms nothing else",
        mechanism="keys that cannot be passed on are left out",
        file=f"{SOURCE}/platform/store.py",
        old="            if key.isprintable():",
        new="            if True:",
        test="testing/gateway/test_odd_records.py"
        "::test_key_that_cannot_be_encoded_is_left_out",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="late requests that may outlast a stop are refused",
        file=f"{SOURCE}/coordination/shutdown_window.py",
        old="            return -math.inf",
        new="            return math.inf",
        test="testing/gateway/test_stop.py"
        "::test_late_request_on_a_kept_connection_is_refused_at_once",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="requests that wait during a stop are refused before its end",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="            waiter.set_exception(NoCapacity())",
        new="            pass",
        test="testing/coordination/test_shutdown_window.py"
        "::test_waiting_request_is_rejected_when_a_stop_leaves_it_no_time",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="a stopping entry uses no queue of an instance",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="or not self.shutdown_window.covers(request.caller_deadline)",
        new="",
        test="testing/gateway/test_stop.py"
        "::test_request_that_waits_for_a_slot_is_refused_before_the_end",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="masticdeck-entry refuses late requests as well",
        file=f"{SOURCE}/entry/forward.py",
        old="        if now > latest_start:",
        new="        if False:",
        test="testing/coordination/test_leaving.py"
        "::test_late_request_that_may_outlast_the_stop_is_refused",
    ),
    Mutant(
        promise="a request runs as its caller sent it",
        mechanism="a message with an offer of a protocol goes on after its head",
        file=f"{SOURCE}/transport/http1_server.py",
        old='        """Queue the request for its turn."""\n'
        "        if self.parser.should_upgrade():\n            return\n",
        new='        """Queue the request for its turn."""\n',
        test="testing/transport/test_http1_server.py"
        "::TestUpgradeOffers::test_request_is_read_whole_and_answered_once",
    ),
    Mutant(
        promise="a request runs as its caller sent it",
        mechanism="what follows a head with an offer is read",
        file=f"{SOURCE}/transport/http1_server.py",
        old="                data = self.head_without_offer() + data[head_end:]",
        new="                data = self.head_without_offer()",
        test="testing/transport/test_http1_server.py"
        "::TestUpgradeOffers::test_request_is_read_whole_and_answered_once",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="chunk headers and trailers of a request are bounded",
        file=f"{SOURCE}/transport/http1_server.py",
        old="        if self.framing_bytes > self.limits.max_header_bytes:",
        new="        if False:",
        test="testing/transport/test_http1_server.py"
        "::test_framing_without_end_is_rejected_within_a_bound",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="a connection reads no further requests while large ones wait",
        file=f"{SOURCE}/transport/http1_server.py",
        old="            or self.waiting_bytes"
        " >= self.server.memory.limits.read_ahead_bytes",
        new="            or False",
        test="testing/transport/test_caller_memory.py"
        "::test_requests_read_ahead_are_bounded_and_all_answered",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="a head is charged while it is read",
        file=f"{SOURCE}/transport/http1_server.py",
        old="            size += HEADER_OBJECT_BYTES * len(self.reading.headers)",
        new="            pass",
        test="testing/transport/test_caller_memory.py"
        "::test_head_is_charged_while_it_is_read",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="answers wait for a caller that does not read",
        file=f"{SOURCE}/transport/http1_server.py",
        old="                if not self.writable.is_set():",
        new="                if False:",
        test="testing/transport/test_caller_memory.py"
        "::test_caller_that_reads_nothing_gets_no_further_answers",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="connections that hold the most make room",
        file=f"{SOURCE}/transport/caller_memory.py",
        old="        if freed >= wanted or victim.rank_bytes < least:",
        new="        if True:",
        test="testing/transport/test_caller_memory.py"
        "::TestDecisions::test_ordinary_requests_have_room_beside_many_small_hogs",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="connections that hold as much do not close each other",
        file=f"{SOURCE}/transport/caller_memory.py",
        old="    least = MIN_RATIO * (holding.rank_bytes + size)",
        new="    least = 0",
        test="testing/transport/test_caller_memory.py::TestDecisions"
        "::test_connection_that_asks_for_more_than_others_hold_is_refused",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="a head that grows closes no other connection",
        file=f"{SOURCE}/transport/caller_memory.py",
        old="        if not is_head or "
        "holding.total_bytes + size <= self.limits.share_bytes:",
        new="        if True:",
        test="testing/transport/test_caller_memory.py"
        "::TestDecisions::test_heads_that_grow_do_not_close_each_other",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="an entry parses no further request while one waits",
        file=f"{SOURCE}/entry/connections.py",
        old="not self._messages and self.is_open():",
        new="self.is_open():",
        test="testing/entry/test_caller_memory.py"
        "::test_crowd_of_legal_requests_stays_within_the_memory",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="the rest of a body is no head",
        file=f"{SOURCE}/entry/connections.py",
        old="        return not self.payload.is_eof()",
        new="        return False",
        test="testing/entry/test_forward.py"
        "::test_body_that_follows_its_answer_is_not_taken_for_the_next_head",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="a gateway resets a request that is given up",
        file=f"{SOURCE}/transport/http1_client.py",
        old="        set_reset_on_close(transport, True)",
        new="        set_reset_on_close(transport, False)",
        test="testing/transport/test_http1_client.py"
        "::test_request_that_is_given_up_is_reset",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="an entry resets a request that is given up",
        file=f"{SOURCE}/transport/answers.py",
        old="        set_reset_on_close(transport, True)",
        new="        set_reset_on_close(transport, False)",
        test="testing/protocol/test_backend.py::test_request_that_is_given_up_is_reset",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="a gateway sees a caller leave that it does not read",
        file=f"{SOURCE}/transport/http1_server.py",
        old="            self.server.departures.watch(self.transport, self.abort)\n",
        new="",
        test="testing/transport/test_http1_server.py"
        "::test_caller_that_leaves_while_many_requests_wait_is_not_served",
    ),
    Mutant(
        promise="a faulty caller harms no other request",
        mechanism="an entry sees a caller leave that it does not read",
        file=f"{SOURCE}/entry/connections.py",
        old="            self.departures.watch(self.watched, self.watched.abort)\n",
        new="",
        test="testing/entry/test_forward.py"
        "::test_departed_callers_requests_do_not_follow_one_another",
    ),
    Mutant(
        promise="an entry lives on whatever the store answers",
        mechanism="an answer of the store is bounded",
        file=f"{SOURCE}/protocol/store.py",
        old="        return await read_bounded(response, MAX_ANSWER_BYTES)",
        new="        return await response.read()",
        test="testing/protocol/test_store.py::test_answer_without_end_is_not_collected",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="chunk headers and trailers of an answer are bounded",
        file=f"{SOURCE}/transport/http1_client.py",
        old="        if self.framing_bytes > MAX_FRAMING_BYTES:",
        new="        if False:",
        test="testing/transport/test_http1_client.py"
        "::test_framing_without_end_breaks_the_exchange_within_a_bound",
    ),
    Mutant(
        promise="a shift of traffic stays under its cap",
        mechanism="the fraction of a region's own keys depends on the fleet only",
        file=f"{SOURCE}/coordination/placement.py",
        old="REGION_CAPACITY_FRACTION * self.capacity_ratio(service, Scope.REGION)",
        new="1.0",
        test="testing/coordination/test_placement.py"
        "::test_region_with_few_slots_keeps_few_of_its_keys",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="requests of other entries count at an instance",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="max(0, use.running + use.waiting - load.own_requests)",
        new="0",
        test="testing/coordination/test_dispatch.py"
        "::test_requests_of_other_entries_count_while_their_report_is_recent",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="repeats are rounded by place, not up",
        file=f"{SOURCE}/coordination/retries.py",
        old="        whole = math.floor(allowed + self.order.fraction(service))",
        new="        whole = math.ceil(allowed)",
        test=f"{RETRIES}::test_first_requests_of_all_entries_are_not_all_repeated",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="an entry that others do not count has no portion of the slack",
        file=f"{SOURCE}/coordination/retries.py",
        old="        if not self.order.contains_own_entry() or not self.is_counted():",
        new="        if not self.order.contains_own_entry():",
        test=f"{RETRIES}"
        "::test_entries_that_the_others_dropped_take_no_portion_of_the_slack",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="an entry without its registration has no portion of the slack",
        file=f"{SOURCE}/gateway/app.py",
        old="            is_counted=self.may_count_for_others,",
        new="",
        test="testing/gateway/test_shared_budget.py"
        "::test_entry_that_has_lost_its_registration_has_no_portion",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a restart does not renew the portion of the slack",
        file=f"{SOURCE}/coordination/retries.py",
        old="        return run_fraction * self.slack / self.order.size()",
        new="        return self.slack / self.order.size()",
        test=f"{RETRIES}::test_restarts_do_not_renew_what_an_entry_may_repeat",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="the turns at a cold instance have one owner each",
        file=f"{SOURCE}/coordination/cold_turns.py",
        old="            if self.owns_turn(instance, schedule.examined_until):",
        new="            if True:",
        test="testing/coordination/test_cold_rate.py"
        "::test_entries_that_begin_together_do_not_flood_a_cold_instance",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="an entry that others may not count uses no turns",
        file=f"{SOURCE}/coordination/entry_registration.py",
        old="        return self.registered_at if self.is_held() else math.inf",
        new="        return self.registered_at",
        test="testing/gateway/test_cold_instances.py"
        "::test_entry_without_its_registration_sends_nothing_to_cold_instances",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="turns begin when all entries with turns see each other",
        file=f"{SOURCE}/gateway/app.py",
        old="        return self.entry_registration.held_since() + MAX_MEMBERS_AGE_S",
        new="        return self.entry_registration.held_since()",
        test="testing/gateway/test_cold_instances.py"
        "::test_entry_that_has_just_registered_sends_nothing_to_cold_instances",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="turns begin when all entries with turns see each other",
        file=f"{SOURCE}/coordination/cold_turns.py",
        old="        self.usable_from = usable_from\n",
        new="        self.usable_from = lambda: -math.inf\n",
        test="testing/coordination/test_cold_rate.py"
        "::test_entries_that_join_together_do_not_flood_a_cold_instance",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="an instance that refused a connection counts as cold",
        file=f"{SOURCE}/gateway/attempt.py",
        old="                self.forwarder.record_refused_connection(self.instance)",
        new="                pass",
        test="testing/gateway/test_cold_instances.py"
        "::test_instance_that_refused_a_connection_counts_as_cold_when_it_is_back",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="the cold time of a returned zone is kept in the store",
        file=f"{SOURCE}/gateway/app.py",
        old="        self.fleet_view.on_zone_returned.append("
        "self.zone_return_recorder.record_return)\n",
        new="",
        test="testing/gateway/test_cold_instances.py"
        "::test_entry_that_starts_after_an_evacuation_knows_that_the_zone_is_cold",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a turn at a cold instance is used once",
        file=f"{SOURCE}/coordination/cold_turns.py",
        old="            return schedule.used_requests >= length.requests",
        new="            return False",
        test="testing/coordination/test_dispatch.py"
        "::test_cold_instance_gets_this_entrys_part_of_its_rate",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="requests beyond the turns at cold instances do not wait",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        self.reject_beyond_turns(request)\n",
        new="",
        test="testing/coordination/test_dispatch.py"
        "::test_request_beyond_the_turns_at_cold_instances_is_rejected_at_once",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="runs that would be cancelled are not started",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="            request.deadline - expected_s,",
        new="            request.deadline,",
        test="testing/coordination/test_dispatch.py"
        "::test_request_that_cannot_end_in_time_gets_no_slot",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="busy instances are given no new keys",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="or self.utilization(instance, now) < MAX_UTILIZATION_FOR_NEW_KEYS",
        new="or True",
        test="testing/coordination/test_dispatch.py"
        "::test_second_instance_gets_a_new_key_only_while_it_has_slots_to_spare",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a reset beside the data is not an end",
        file=f"{SOURCE}/transport/http1_client.py",
        old="            if self.was_reset():",
        new="            if False:",
        test="testing/transport/test_http1_client.py"
        "::test_answer_without_length_is_broken_by_a_reset_beside_its_data",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="answers with another id are dropped",
        file=f"{SOURCE}/gateway/attempt.py",
        old="        return response_headers.request_id == own_id",
        new="        return True",
        test=f"{STRAY}::test_stray_refusal_does_not_end_an_unsafe_request",
    ),
    Mutant(
        promise="a non-idempotent request runs at most once",
        mechanism="the time of a pause counts against the deadline",
        file=f"{SOURCE}/transport/http1_server.py",
        old="            return self.ticked_at\n",
        new="            return now\n",
        test="testing/transport/test_http1_server.py"
        "::test_request_that_arrived_during_a_pause_counts_as_that_old",
    ),
    Mutant(
        promise="a non-idempotent request runs at most once",
        mechanism="the deadline is checked when the request is sent",
        file=f"{SOURCE}/gateway/attempt.py",
        old="        if remaining_s < MIN_SEND_TIME_S:",
        new="        if False:",
        test="testing/gateway/test_connections.py"
        "::test_request_whose_deadline_passed_in_a_pause_is_not_sent",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="a request counts as in flight as soon as it is read",
        file=f"{SOURCE}/transport/http1_server.py",
        old="count = self.answering + len(self.waiting) + (self.reading is not None)",
        new="count = int(self.answering)",
        test="testing/transport/test_http1_server.py"
        "::test_request_counts_as_in_flight_as_soon_as_it_is_read",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="requests wait for the configuration of a starting entry",
        file=f"{SOURCE}/gateway/forwarder.py",
        old="        while self.fleet.routes is None and boottime() < wait_until:",
        new="        while False:",
        test="testing/gateway/test_start.py"
        "::test_request_waits_for_the_configuration_of_a_starting_entry",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="stale pages are used with the changes since then only",
        file=f"{SOURCE}/coordination/feed.py",
        old="            self.replica.apply_changes(changes.changes, "
        "changes.revision)\n        self.replica.replace",
        new="            pass\n        self.replica.replace",
        test="testing/coordination/test_feed.py"
        "::TestStart::test_instance_that_left_since_the_stale_pages_is_never_used",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="a refusal counts only with the id of the request",
        file=f"{SOURCE}/gateway/attempt.py",
        old="            return not own_id or not response_headers.not_run",
        new="            return True",
        test=f"{STRAY}::test_stray_refusal_does_not_end_an_unsafe_request",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a connection with bytes that nobody asked for is closed",
        file=f"{SOURCE}/protocol/backend.py",
        old="        if protocol is None or not protocol.should_close:",
        new="        if True:",
        test=f"{BACKEND}::test_bytes_before_the_first_request_are_not_its_answer",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="an idle connection on which bytes arrive is closed",
        file=f"{SOURCE}/transport/answers.py",
        old="        if data and self.body is not None and self.body.is_eof():",
        new="        if False:",
        test=f"{BACKEND}::test_bytes_without_end_on_an_idle_connection_close_it",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a connection with a second answer is not used again",
        file=f"{SOURCE}/transport/answers.py",
        old="            self.force_close()\n            return",
        new="            return",
        test=f"{BACKEND}::test_copy_that_arrives_with_an_answer_closes_the_connection",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="interim answers are bounded",
        file=f"{SOURCE}/transport/answers.py",
        old="            if self.interim_answers > MAX_INTERIM_ANSWERS:",
        new="            if False:",
        test=f"{BACKEND}::test_interim_answers_without_end_break_the_exchange",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="a body over its limit is given up",
        file=f"{SOURCE}/transport/answers.py",
        old="        if size > limit:",
        new="        if False:",
        test=f"{BACKEND}::test_body_over_its_limit_closes_the_connection",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="a body that has arrived is read in several turns",
        file=f"{SOURCE}/transport/answers.py",
        old="        await asyncio.sleep(0)\n    return",
        new="        pass\n    return",
        test=f"{BACKEND}::test_body_that_has_arrived_leaves_others_their_turns",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="an answer that has arrived is passed on in several turns",
        file=f"{SOURCE}/entry/delivery.py",
        old="            await asyncio.sleep(0)",
        new="            pass",
        test="testing/entry/test_endless_answers.py"
        "::test_body_that_has_arrived_leaves_other_callers_their_turns",
    ),
    Mutant(
        promise="a faulty instance harms no other request",
        mechanism="a health answer is bounded",
        file=f"{SOURCE}/coordination/drain_sources.py",
        old="body = await read_bounded(response, MAX_HEALTH_BYTES)",
        new="body = await response.read()",
        test="testing/coordination/test_drain_sources.py"
        "::test_health_answer_without_end_is_not_collected",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="the entry program trusts a refusal only with the request's id",
        file=f"{SOURCE}/protocol/backend.py",
        old="return answer.headers.get(headers.OUTCOME) != Outcome.NOT_RUN.value",
        new="return True",
        test=f"{BACKEND}::test_refusal_without_the_id_of_the_request_proves_nothing",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="a reported slowdown of a machine is used",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="        load.reported_slowdown = use.slowdown",
        new="        load.reported_slowdown = 1.0",
        test="testing/coordination/test_dispatch.py"
        "::test_key_moves_away_from_a_disturbed_machine",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="requests that are late already get the last slots of their priority",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        is_late = now > self.late_at",
        new="        is_late = False",
        test="testing/coordination/test_dispatch.py"
        "::test_late_request_waits_behind_those_of_its_priority_that_are_in_time",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="the next request waits at the instance",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="MAX_QUEUED_REQUESTS = 1",
        new="MAX_QUEUED_REQUESTS = 0",
        test="testing/coordination/test_load_simulation.py"
        "::test_short_runs_meet_the_objective_more_often_with_the_next_one_at_the_instance",
    ),
    Mutant(
        promise="entries act on one view of the fleet",
        mechanism="callers of a zone are directed to a few of its entries",
        file=f"{SOURCE}/coordination/caller_subset.py",
        old="    ranked_entries = sorted(entries, key=capacity_rank)",
        new="    return list(entries)\n    ranked_entries: list[FleetEntry] = []",
        test="testing/gateway/test_directory.py"
        "::test_all_entries_direct_callers_of_a_zone_to_the_same_few",
    ),
    Mutant(
        promise="entries act on one view of the fleet",
        mechanism="entries of a zone follow its relay",
        file=f"{SOURCE}/coordination/watcher_selector.py",
        old="            if entry_id == zone_source:",
        new="            if False:",
        test="testing/coordination/test_watcher_selector.py"
        "::test_records_cross_to_a_zone_only_once",
    ),
    Mutant(
        promise="an accepted configuration is in force everywhere within seconds",
        mechanism="large records are sent compressed",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="    compress = compress and len(value) >= MIN_COMPRESSED_BYTES",
        new="    compress = False",
        test="testing/coordination/test_feed_peers.py"
        "::test_compressed_configuration_takes_a_tenth_of_the_bytes",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="only proofs make a refusal",
        file=f"{SOURCE}/gateway/exchange.py",
        old="        return all("
        "status.proves_not_run for status in self.failed_statuses)",
        new="        return True",
        test=f"{FORWARD}"
        "::test_unsafe_request_of_unknown_outcome_is_sent_once_and_gets_502",
    ),
    Mutant(
        promise="an order runs at most once",
        mechanism="unsafe requests are repeated after a proof only",
        file=f"{SOURCE}/gateway/exchange.py",
        old="        if not self.route.idempotent and not status.proves_not_run:",
        new="        if False:",
        test=f"{FORWARD}"
        "::test_unsafe_request_of_unknown_outcome_is_sent_once_and_gets_502",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="draining instances are left out",
        file=f"{SOURCE}/state/fleet.py",
        old="instance.state is InstanceState.READY\n",
        new="True\n",
        test=f"{CHANGES}::test_draining_instance_receives_no_new_requests",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="a source with an outdated replica is left",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="if update.age_s > MAX_REPLICA_AGE_S or update.hops >= MAX_HOPS:",
        new="if update.hops >= MAX_HOPS:",
        test="testing/coordination/test_feed_peers.py"
        "::test_follower_changes_a_source_with_an_outdated_replica",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="the loss of a source is no outage of the store",
        file=f"{SOURCE}/coordination/feed.py",
        old="            if self.store_failed_at > self.confirmed_at:",
        new="            if True:",
        test="testing/coordination/test_feed.py"
        "::test_record_removed_after_the_loss_of_a_source_has_not_expired",
    ),
    Mutant(
        promise="entries act on one view of the fleet",
        mechanism="a snapshot is encoded apart from changes",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="        basis = (update.is_snapshot, after, update.revision, compress)",
        new="        basis = (False, after, update.revision, compress)",
        test="testing/coordination/test_feed_peers.py"
        "::test_snapshot_is_whole_although_the_same_changes_were_sent_before",
    ),
    Mutant(
        promise="an accepted configuration is in force everywhere within seconds",
        mechanism="sources that follow each other are left",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old=" or update.hops >= MAX_HOPS:",
        new=":",
        test="testing/coordination/test_feed_peers.py::"
        "test_watchers_that_the_store_rejects_do_not_keep_following_each_other",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="the zone of a failed source is avoided",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="                self.is_zone_avoided(entries[source].zone, now),",
        new="                False,",
        test="testing/coordination/test_feed_peers.py"
        "::test_source_outside_the_zone_of_a_failed_one_is_followed_next",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="the stop waits for requests in flight",
        file=f"{SOURCE}/gateway/app.py",
        old="        await asyncio.sleep(max(0.0, ACCEPT_AFTER_STOP_S - "
        "(boottime() - started_at)))",
        new="        return",
        test="testing/programs/test_gateway.py"
        "::test_planned_stop_under_load_cuts_no_request_and_exits_with_zero",
    ),
    Mutant(
        promise="an accepted configuration never reverts",
        mechanism="an older route table is not put in force",
        file=f"{SOURCE}/state/fleet.py",
        old="routes.version <= self.routes.version:",
        new="routes.version < 0:",
        test=f"{CHANGES}::test_newer_configuration_applies_and_an_older_one_is_ignored",
    ),
    Mutant(
        promise="an accepted configuration is in force everywhere within seconds",
        mechanism="a waiting request follows the fleet",
        file=f"{SOURCE}/coordination/instance_orders.py",
        old="if epoch == self.epoch:",
        new="if self.epoch is not None:",
        test="testing/coordination/test_placement.py"
        "::test_keys_move_out_of_an_evacuated_zone",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="an allocation is used only while it is provably current",
        file=f"{QUOTA_SOURCE}/limiter.py",
        old="        if self.proof_age_s() >= terms.max_proof_age_s:",
        new="        if False:",
        test=f"{QUOTAS}::test_entries_that_are_cut_off_stop_by_themselves",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="a restarted entry uses a part of its allowance",
        file=f"{QUOTA_SOURCE}/limiter.py",
        old="        return min(allowance, max(part, allowance - own_reserved))",
        new="        return allowance",
        test=f"{QUOTAS}::test_restart_of_all_entries_stays_within_the_bound",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="an entry without a predecessor uses all of its allowance",
        file=f"{QUOTA_SOURCE}/limiter.py",
        old="max(part, allowance - own_reserved)",
        new="part",
        test=f"{QUOTAS}::test_entries_that_start_without_a_predecessor_use_all_of_their_allowance",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="a smaller budget binds before the next allocation",
        file=f"{QUOTA_SOURCE}/allocation.py",
        old="        if budget >= self.budget:",
        new="        if True:",
        test=f"{QUOTAS}::test_lower_limit_binds_after_one_window",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="what an earlier allocation gave stays reserved",
        file=f"{QUOTA_SOURCE}/distribution.py",
        old="            reserved = max(allowance, earlier)",
        new="            reserved = allowance",
        test=f"{QUOTAS}"
        "::test_allocators_that_take_turns_and_miss_records_keep_the_bound",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="what was used in the last window stays reserved",
        file=f"{QUOTA_SOURCE}/terms.py",
        old="        return self.max_proof_age_s + self.window_s",
        new="        return 0.2",
        test=f"{QUOTAS}::test_demand_that_moves_between_entries_stays_within_the_bound",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="a writer counts what the record reserves",
        file=f"{QUOTA_SOURCE}/history.py",
        old="                    entry: Share(share.reserved, share.reserved)",
        new="                    entry: Share(share.allowance, share.allowance)",
        test=f"{QUOTAS}::test_allocators_that_take_turns_and_miss_records_keep_the_bound",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="allowances only shrink after a lower limit",
        file=f"{QUOTA_SOURCE}/distribution.py",
        old="entry: share.allowance for entry, share in current.shares.items()\n"
        "            }, 0",
        new="entry: share.reserved for entry, share in current.shares.items()\n"
        "            }, 0",
        test=f"{QUOTAS}::test_lower_limit_binds_at_once_while_demand_moves",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="nothing is divided while a lost record may be in use",
        file=f"{QUOTA_SOURCE}/allocator.py",
        old="        if now - self.history.unknown_since < self.terms().reuse_after_s:",
        new="        if False:",
        test=f"{QUOTAS}::test_lost_record_is_replaced_once_nothing_of_it_can_be_in_use",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="an unreadable record ends the use of the one before",
        file=f"{QUOTA_SOURCE}/limiter.py",
        old="        self.allocation = {}\n        if value",
        new="        if value",
        test=f"{QUOTAS}::test_lost_record_is_replaced_once_nothing_of_it_can_be_in_use",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="random differences of demand move no allowance",
        file=f"{QUOTA_SOURCE}/distribution.py",
        old="    weight = 1 - min(1.0, mean / variance) if variance else 0.0",
        new="    weight = 1.0",
        test=f"{QUOTAS}::test_calm_demand_of_many_workspaces_causes_few_writes",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="entries that random callers will ask keep their allowance",
        file=f"{QUOTA_SOURCE}/demand.py",
        old="                if len(by_entry) >= MIN_SPREAD_FRACTION * expected:",
        new="                if False:",
        test=f"{QUOTAS}::test_calm_demand_of_many_workspaces_causes_few_writes",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="a new allocator keeps the division while it learns who is asked",
        file=f"{QUOTA_SOURCE}/allocator.py",
        old="        is_learning = acting_s < TAKEOVER_PAUSE_S + LEARNING_S",
        new="        is_learning = False",
        test=f"{QUOTAS}::test_change_of_the_allocator_does_not_upset_the_division",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="no 429 after a request may have run, by quota",
        file=f"{SOURCE}/gateway/forwarder.py",
        old="states that the request did not run.\n\n        A request that was sent "
        'before its key got another workspace may have run.\n        """\n'
        "        if exchange is not None and",
        new='states that the request did not run."""\n        if False and',
        test="testing/gateway/test_quotas.py"
        "::test_request_that_may_have_run_gets_no_429_when_its_key_moves",
    ),
    Mutant(
        promise=QUOTA_PROMISE,
        mechanism="a request that did not run is not counted",
        file=f"{SOURCE}/gateway/exchange.py",
        old="            self.forwarder.quota_limiter.take_back(admission)",
        new="            pass",
        test="testing/gateway/test_quotas.py"
        "::test_refused_requests_that_did_not_run_are_not_counted",
    ),
    Mutant(
        promise="a request runs only with the workspace that holds its key",
        mechanism="keys are checked right before each send",
        file=f"{SOURCE}/gateway/exchange.py",
        old="            return True\n        return self.refresh_route()",
        new="            return True\n        return True",
        test=f"{WORKSPACES}::test_key_removed_while_the_connection_is_opened_is_not_used",
    ),
    Mutant(
        promise="a request runs only with the workspace that holds its key",
        mechanism="a request without a workspace is checked as well",
        file=f"{SOURCE}/gateway/exchange.py",
        old="if self.workspace_id is None and not self.forwarder.access.needs_keys():",
        new="if self.workspace_id is None:",
        test=f"{WORKSPACES}::test_route_that_needs_a_key_since_the_instance_was_chosen",
    ),
    Mutant(
        promise="a request runs only with the workspace that holds its key",
        mechanism="the caller's name of a workspace is dropped",
        file=f"{SOURCE}/platform/headers.py",
        old="        CREDENTIAL,\n        WORKSPACE,\n",
        new="        CREDENTIAL,\n",
        test=f"{WORKSPACES}"
        "::test_public_route_needs_no_key_and_passes_on_neither_key_nor_name",
    ),
    Mutant(
        promise="a key reaches no instance, log, metric or peer in clear text",
        mechanism="the caller's key is dropped",
        file=f"{SOURCE}/platform/headers.py",
        old="        CREDENTIAL,\n        WORKSPACE,\n",
        new="        WORKSPACE,\n",
        test=f"{WORKSPACES}"
        "::test_instance_gets_the_name_of_the_workspace_and_never_the_key",
    ),
    Mutant(
        promise="a key reaches no instance, log, metric or peer in clear text",
        mechanism="digests replace the keys where the store is read",
        file=f"{SOURCE}/platform/store.py",
        old="if item.key != CONFIG_KEY or item.value is None:",
        new="if True:",
        test=f"{KEYS}::test_no_call_of_the_store_returns_a_key",
    ),
    Mutant(
        promise="a key reaches no instance, log, metric or peer in clear text",
        mechanism="records of older entries are concealed on arrival",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="        update = conceal_update(update, self.conceal)",
        new="",
        test=f"{FRESHNESS}"
        "::test_keys_that_an_entry_of_an_older_version_sends_are_concealed",
    ),
    Mutant(
        promise="a removed key is refused by every entry within the bound",
        mechanism="updates are dated by probes",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="probes.proved_at(update.probe, update.proof_age_s)",
        new="boottime() - update.proof_age_s",
        test=f"{FRESHNESS}"
        "::test_no_delay_suspension_or_reconnection_makes_a_proof_too_young",
    ),
    Mutant(
        promise="a removed key is refused by every entry within the bound",
        mechanism="the age of the sender's own proof counts",
        file=f"{SOURCE}/coordination/freshness/probes.py",
        old="        return sent_at - age_s",
        new="        return sent_at",
        test=f"{FRESHNESS}"
        "::test_no_delay_suspension_or_reconnection_makes_a_proof_too_young",
    ),
    Mutant(
        promise="a removed key is refused by every entry within the bound",
        mechanism="a call of the store proves the time before it was sent",
        file=f"{SOURCE}/coordination/feed.py",
        old="        self.replica.apply_changes(changes.changes, changes.revision)\n"
        "        self.replica.prove(sent_at)",
        new="        self.replica.apply_changes(changes.changes, changes.revision)\n"
        "        self.replica.prove(boottime())",
        test=f"{FRESHNESS}::test_call_of_the_store_proves_the_time_before_it_was_sent",
    ),
    Mutant(
        promise="a removed key is refused by every entry within the bound",
        mechanism="keys are used only with a recent proof",
        file=f"{SOURCE}/coordination/workspaces/access.py",
        old="return bound_s is None or self.proof_age_s() < fraction * bound_s",
        new="return True",
        test=f"{WORKSPACES}"
        "::test_entry_that_is_cut_off_stops_using_keys_within_the_bound",
    ),
    Mutant(
        promise="keys are used at every entry with a sound way to the store",
        mechanism="an entry whose sources prove nothing follows the store",
        file=f"{SOURCE}/gateway/app.py",
        old="                or self.lacks_proof()\n",
        new="",
        test=f"{WORKSPACES}"
        "::test_entry_whose_sources_are_all_of_an_older_version_asks_the_store",
    ),
    Mutant(
        promise="keys are used at every entry with a sound way to the store",
        mechanism="a source that proves nothing is left",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="if sends_probes and self.lacks_proof(proof_due_at):",
        new="if False:",
        test=f"{FRESHNESS}"
        "::test_source_of_an_older_version_is_left_for_one_that_proves_its_age",
    ),
    Mutant(
        promise="a removed key is refused by every entry within the bound",
        mechanism="an unreadable configuration ends the proof",
        file=f"{SOURCE}/coordination/freshness/configuration.py",
        old="            self.last_proved_at = self.replica.proved_at",
        new="            pass",
        test=f"{WORKSPACES}"
        "::test_unreadable_configuration_ends_the_use_of_keys_within_the_bound",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="no refusal after an attempt that may have run",
        file=f"{SOURCE}/gateway/exchange.py",
        old="            if self.has_certainly_not_run():\n                raise\n",
        new="            raise\n",
        test=f"{WORKSPACES}::test_refusal_does_not_follow_an_attempt_that_may_have_run",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="an instance's answer with an invalid status is broken",
        file=f"{SOURCE}/transport/http1_client.py",
        old="        if not is_final_status(status):",
        new="        if False:",
        test="testing/transport/test_http1_client.py"
        "::test_answer_with_an_invalid_status_breaks_the_exchange",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="a backend server's answer with an invalid status is broken",
        file=f"{SOURCE}/transport/answers.py",
        old="        if is_final_status(message.code):",
        new="        if not is_interim_status(message.code):",
        test="testing/protocol/test_backend.py"
        "::test_answer_with_an_invalid_status_is_broken",
    ),
    Mutant(
        promise="urgent work is served first and no work starves",
        mechanism="a grant advances the virtual time of its flow",
        file=f"{QUEUEING_SOURCE}/fair_queue.py",
        old="        flow.start = start + 1.0 / flow.weight",
        new="        flow.start = start",
        test=f"{QUEUEING}::test_flood_of_one_flow_does_not_delay_another",
    ),
    Mutant(
        promise="urgent work is served first and no work starves",
        mechanism="a priority that is owed grants goes first",
        file=f"{QUEUEING_SOURCE}/fair_queue.py",
        old="if level.credit >= CREDIT_THRESHOLD]",
        new="if False]",
        test=f"{QUEUEING}::test_no_priority_starves_and_none_overtakes_by_its_floor",
    ),
    Mutant(
        promise="urgent work is served first and no work starves",
        mechanism="a group that cannot be served is left out for a pass",
        file=f"{QUEUEING_SOURCE}/fair_queue.py",
        old="            group.is_blocked = False\n",
        new="            group.is_blocked = True\n",
        test=f"{QUEUEING}::test_request_that_cannot_be_served_does_not_block_others",
    ),
    Mutant(
        promise="urgent work is served first and no work starves",
        mechanism="groups are asked in turn",
        file=f"{QUEUEING_SOURCE}/fair_queue.py",
        old="        self.groups.move_to_end((",
        new="        str((",
        test=f"{QUEUEING}::test_pass_is_bounded_and_every_group_is_asked_in_the_end",
    ),
    Mutant(
        promise="urgent work is served first and no work starves",
        mechanism="a request that becomes late changes its place",
        file=f"{QUEUEING_SOURCE}/fair_queue.py",
        old="                ticket.version += 1",
        new="                pass",
        test=f"{QUEUEING}::test_changed_key_moves_a_request",
    ),
    Mutant(
        promise="what cannot be served is refused at once",
        mechanism="a request is refused for its expected wait",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        if starts_at > until:",
        new="        if False:",
        test=f"{QUEUEING}"
        "::test_request_whose_expected_wait_is_too_long_is_refused_on_arrival",
    ),
    Mutant(
        promise="what cannot be served is refused at once",
        mechanism="the rate counts time with waiting requests only",
        file=f"{QUEUEING_SOURCE}/wait_estimate.py",
        old="        if self.waiting_count:\n            decay",
        new="        if True:\n            decay",
        test=f"{QUEUEING}::test_calm_time_does_not_lower_the_rate",
    ),
    Mutant(
        promise="what cannot be served is refused at once",
        mechanism="late requests are refused when others take all grants",
        file=f"{QUEUEING_SOURCE}/wait_estimate.py",
        old="        return self.in_time_load >= 1.0",
        new="        return False",
        test=f"{QUEUEING}"
        "::test_late_request_waits_unless_those_in_time_take_all_grants",
    ),
    Mutant(
        promise="what cannot be served is refused at once",
        mechanism="nothing is refused while the rate is unknown",
        file=f"{QUEUEING_SOURCE}/wait_estimate.py",
        old="self.measured_s < MIN_MEASURED_S or not self.grants",
        new="not self.grants",
        test=f"{QUEUEING}"
        "::test_nothing_is_expected_while_the_rate_is_unknown_or_outdated",
    ),
    Mutant(
        promise="refused callers return when there is room",
        mechanism="returns are booked one after the other",
        file=f"{QUEUEING_SOURCE}/returns.py",
        old="            self.booked_until[pool] = start + interval_s",
        new="            pass",
        test=f"{QUEUEING}::test_refused_callers_are_told_times_apart",
    ),
    Mutant(
        promise="refused callers return when there is room",
        mechanism="the objective of a returned caller runs from its first try",
        file=f"{QUEUEING_SOURCE}/returns.py",
        old="        return spent_s\n",
        new="        return 0.0\n",
        test=f"{QUEUEING}"
        "::test_caller_that_returns_counts_its_objective_from_its_first_try",
    ),
)

"""The mechanisms of an entry on a live fleet, each with its test."""

from __future__ import annotations

from scripts.mutant import Mutant

SOURCE = "src/masticdeck"
FORWARD = "testing/gateway/test_forward.py"
CHANGES = "testing/gateway/test_fleet_changes.py"

GATEWAY_MUTANTS = (
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
        mechanism="cold instances get a fraction of their rate",
        file=f"{SOURCE}/coordination/instance_load.py",
        old="        load.cold_tokens -= 1.0",
        new="        pass",
        test="testing/coordination/test_dispatch.py"
        "::test_cold_instance_gets_this_entrys_fraction_of_its_rate",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="runs that would be cancelled are not started",
        file=f"{SOURCE}/coordination/dispatch.py",
        old="        return request.deadline - self.expected_s(request, instance)",
        new="        return request.deadline",
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
        old="response_headers.request_id in (None, self.exchange.request_headers.id)",
        new="True",
        test=f"{FORWARD}::test_response_to_another_request_is_not_returned",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="only proofs make a refusal",
        file=f"{SOURCE}/gateway/exchange.py",
        old="        if all(status.proves_not_run for status in self.failed_statuses):",
        new="        if True:",
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
        old="                if update.age_s > MAX_REPLICA_AGE_S:",
        new="                if False:",
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
        promise="a leaving backend server gets no new work",
        mechanism="the zone of a failed source is avoided",
        file=f"{SOURCE}/coordination/feed_peers.py",
        old="return is_zone_avoided, source.id == self.last_source, source_class",
        new="return False, source.id == self.last_source, source_class",
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
        file=f"{SOURCE}/coordination/placement.py",
        old="self.cached_epoch != self.fleet.epoch",
        new="self.cached_epoch < 0",
        test="testing/coordination/test_placement.py"
        "::test_keys_move_out_of_an_evacuated_zone",
    ),
)

"""Estimates the load of instances and whether one has a free slot.

Several entries send to the same instances without coordination, so an instance
can be full although no single entry sends much. Each response reports how many
requests of all entries run and wait at the instance; between responses an entry
only knows its own requests. The estimate is the number of own requests plus
those of the other entries at the last report. As the report ages, the estimate
moves to the average of all reports rather than to zero, since an instance that
was full is usually still full.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from masticdeck.coordination.entry_order import EntryOrder
from masticdeck.ids import InstanceId
from masticdeck.protocol.dialect import InstanceUse
from masticdeck.state.fleet import FleetInstance

MAX_REPORT_HALF_LIFE_S = 1.2
"""Longest time in which a report loses half of its weight."""

MIN_REPORT_HALF_LIFE_S = 0.1
"""Shortest time in which a report loses half of its weight: a few round trips."""

REPORT_HALF_LIFE_RUNS = 2.0
"""Half-life of a report in multiples of the mean response time of its instance.

The requests of a report have ended after about one run time, so an instance with
short runs that was full must not count as full for much longer.
"""

SLOWDOWN_HALF_LIFE_S = 0.25
"""Time in which a reported slowdown loses half of its weight.

Interference on a shared machine lasts for some tenths of a second.
"""

UNREPORTED_SLOT_FRACTION = 0.5
"""Fraction of an instance's slots that an entry uses before the first report."""

MOVING_AVERAGE_WEIGHT = 0.2
"""Weight of a new value in a moving average."""

MAX_QUEUED_REQUESTS = 1
"""Requests that are sent to an instance beyond its slots.

The next one then starts as soon as a slot is free, and not only after the response
that frees it has reached an entry.
"""

MAX_REQUESTS_PER_SLOT = 2
"""Estimated requests per slot from which an instance's own queue is too long."""

SHED_REQUESTS_PER_SLOT = 3
"""Least number of requests per slot assumed at an instance that rejected one.

The estimate falls to ``MAX_REQUESTS_PER_SLOT`` after about 0.7 s.
"""

MAX_REST_S = 600.0
"""Longest rest of an instance that is respected, whatever it asks for."""

RAMP_START_REQUESTS = 1
RAMP_FACTOR = 2
"""Requests of an entry at an instance after its rest: few at first, then more."""

UNKNOWN_RUN_TIME_S = MAX_REPORT_HALF_LIFE_S / REPORT_HALF_LIFE_RUNS
"""Run time assumed at an instance that has run no request of this entry."""


@dataclass(slots=True, eq=False)
class InstanceLoad:
    """Load of one instance as known to this entry.

    ``own_requests`` counts this entry's requests there and ``other_requests``
    those of the other entries at boot time ``reported_at``;
    ``mean_other_requests`` is the moving average over all reports.
    ``last_response_at`` is the boot time of the latest response of any kind.
    ``has_sent_invalid_report`` states that a report could not be read,
    ``has_sent_invalid_notice`` the same of a notice that it leaves or rests, and
    ``reported_slowdown`` is the factor by which work took longer than usual on the
    instance's machine at the last report. Until boot time ``resting_until`` the
    instance wants no requests from this entry; afterwards ``ramp_limit`` is the
    number that it may have at a time, None for no such limit.
    """

    slots: int
    own_requests: int = 0
    other_requests: int = 0
    mean_other_requests: float = 0.0
    reported_at: float = float("-inf")
    reported_slowdown: float = 1.0
    has_sent_invalid_report: bool = False
    has_sent_invalid_notice: bool = False
    mean_latency_s: float | None = None
    last_response_at: float = float("-inf")
    resting_until: float = float("-inf")
    ramp_limit: int | None = None

    @property
    def report_half_life_s(self) -> float:
        """Return the time in which a report loses half of its weight, in seconds."""
        if self.mean_latency_s is None:
            return MAX_REPORT_HALF_LIFE_S
        return min(
            MAX_REPORT_HALF_LIFE_S,
            max(MIN_REPORT_HALF_LIFE_S, REPORT_HALF_LIFE_RUNS * self.mean_latency_s),
        )

    def estimate_slowdown(self, now: float) -> float:
        """Return the factor by which work is expected to take longer than usual."""
        weight = math.exp2((self.reported_at - now) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + weight * (self.reported_slowdown - 1.0)

    def estimate_requests(self, now: float) -> float:
        """Return the estimated number of requests at the instance.

        For the requests of other entries, the weight of the last report halves
        every ``report_half_life_s``; the rest is the average of all reports.
        """
        weight = math.exp2((self.reported_at - now) / self.report_half_life_s)
        deviation = self.other_requests - self.mean_other_requests
        return self.own_requests + self.mean_other_requests + weight * deviation

    def accepts_more(self, now: float) -> bool:
        """Return whether neither a rest nor the ramp after it forbids a request."""
        return now >= self.resting_until and (
            self.ramp_limit is None or self.own_requests < self.ramp_limit
        )

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more request is expected to run at once, or next.

        With an outdated report, an entry without requests there may always send
        one, because its response brings a new report. The estimate is rounded to
        whole requests.
        """
        if not self.accepts_more(now):
            return False
        if self.reported_at == float("-inf"):
            return self.own_requests < max(
                1, int(self.slots * UNREPORTED_SLOT_FRACTION)
            )
        is_outdated = now - self.reported_at > self.report_half_life_s
        if is_outdated and self.own_requests == 0:
            return True
        return self.estimate_requests(now) < self.slots + MAX_QUEUED_REQUESTS - 0.5

    def has_queue_capacity(self, now: float) -> bool:
        """Return whether the instance's own queue is short enough for one more."""
        return (
            self.accepts_more(now)
            and self.estimate_requests(now) < MAX_REQUESTS_PER_SLOT * self.slots
        )


class InstanceLoads:
    """Loads of all instances as known to this entry.

    ``order`` gives the place of this entry among those that share the instances;
    without it, this entry is the only one.
    """

    def __init__(self, order: EntryOrder | None = None) -> None:
        self.order = order
        self.by_instance: dict[InstanceId, InstanceLoad] = {}

    def get(self, instance: FleetInstance) -> InstanceLoad:
        """Return the load of an instance; a new one has no requests."""
        load = self.by_instance.get(instance.id)
        if load is None:
            load = self.by_instance[instance.id] = InstanceLoad(instance.slots)
        return load

    def remove(self, instance: InstanceId) -> None:
        """Remove the load of an instance that no longer exists."""
        self.by_instance.pop(instance, None)

    def record_sent(self, instance: FleetInstance) -> InstanceLoad:
        """Count a request that is being sent to an instance."""
        load = self.get(instance)
        load.own_requests += 1
        return load

    def record_report(self, load: InstanceLoad, use: InstanceUse, now: float) -> None:
        """Update the load from the report in a response.

        The report includes the request that is being answered, which this entry
        counts as its own until ``record_end``.
        """
        load.slots = use.slots
        load.other_requests = max(0, use.running + use.waiting - load.own_requests)
        load.mean_other_requests = moving_average(
            load.mean_other_requests, load.other_requests
        )
        load.reported_slowdown = use.slowdown
        load.reported_at = now

    def record_rejection(self, load: InstanceLoad, now: float) -> None:
        """Update the load of an instance that rejected a request as overloaded."""
        load.other_requests = max(
            load.other_requests, SHED_REQUESTS_PER_SLOT * load.slots
        )
        load.reported_slowdown = load.estimate_slowdown(now)
        load.reported_at = now

    def return_delay_s(self, instance: FleetInstance) -> float:
        """Return the time after a rest at which this entry sends again, in seconds.

        All entries learn of a rest at about the same time. They return one after the
        other, as many in a run time as the instance has slots. Until its turn comes, an
        entry's part of what the instance bears is less than one request.
        """
        if self.order is None:
            return 0.0
        load = self.get(instance)
        run_time_s = load.mean_latency_s
        if run_time_s is None:
            run_time_s = UNKNOWN_RUN_TIME_S
        place = self.order.place(f"{instance.id}/{instance.born_ms}")
        return place * run_time_s / load.slots

    def record_rest(
        self, load: InstanceLoad, rest_s: float, now: float, *, delay_s: float = 0.0
    ) -> None:
        """Give an instance no requests for ``rest_s`` seconds, and few after that.

        Each rest holds to its own end, so the latest end counts. This entry returns
        ``delay_s`` after it.
        """
        resting_until = now + min(rest_s, MAX_REST_S) + delay_s
        load.resting_until = max(load.resting_until, resting_until)
        load.ramp_limit = RAMP_START_REQUESTS

    def record_run(self, load: InstanceLoad, now: float) -> None:
        """Raise the limit after a rest when the instance has run a request."""
        if load.ramp_limit is None or now < load.resting_until:
            return
        load.ramp_limit *= RAMP_FACTOR
        if load.ramp_limit > load.slots:
            load.ramp_limit = None

    def record_end(self, load: InstanceLoad) -> None:
        """Count the end of a request.

        A load that was created for a later incarnation of the instance does not
        include the request.
        """
        load.own_requests = max(0, load.own_requests - 1)

    def record_latency(self, load: InstanceLoad, latency_s: float) -> None:
        """Update the moving average of response times."""
        load.mean_latency_s = moving_average(load.mean_latency_s, latency_s)


def moving_average(previous: float | None, value: float) -> float:
    """Return the moving average after one more value."""
    return (
        value
        if previous is None
        else previous + MOVING_AVERAGE_WEIGHT * (value - previous)
    )

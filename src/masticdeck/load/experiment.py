"""The file that describes an experiment (JSON with comments)."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field

from masticdeck.ids import CustomerId, Rank, RegionId, ServiceId
from masticdeck.state.deployment import Model, read_model


class Action(Enum):
    """What a fault does.

    ``INSTANCE`` and ``PLATFORM`` post the arguments to the stand-in's control
    address. The others are for whoever started the processes: the tool writes
    them to its control file and starts or ends nothing itself.
    """

    INSTANCE = "instance"
    PLATFORM = "platform"
    KILL = "kill"
    PAUSE = "pause"
    RESUME = "resume"
    START = "start"


class Fault(Model):
    """Something that happens at a time, in seconds from the start."""

    at_s: Annotated[float, Field(ge=0)]
    action: Action
    target: str = ""
    arguments: dict[str, Any] = Field(default_factory=dict)


class Stream(Model):
    """Poisson arrivals of one kind of request.

    ``rate`` is in requests a second; ``wait_ms`` is the agreed wait, counted
    from the arrival; ``file_bytes`` asks for a file of that size instead of a
    small answer; ``regions`` weighs the regions whose entries are asked, and
    with ``moved_regions`` the weights change in ``move_steps`` equal steps
    between ``move_from_s`` and ``move_to_s``.
    """

    name: str
    service: ServiceId
    rank: Rank
    rate: Annotated[float, Field(gt=0)]
    wait_ms: Annotated[float, Field(gt=0)]
    from_s: Annotated[float, Field(ge=0)] = 0.0
    to_s: float | None = None
    customer: CustomerId | None = None
    method: Annotated[str, Field(pattern="^(GET|POST)$")] = "GET"
    body_bytes: Annotated[int, Field(ge=0)] = 0
    file_bytes: Annotated[int, Field(ge=0)] = 0
    regions: dict[RegionId, float] = Field(default_factory=dict)
    moved_regions: dict[RegionId, float] = Field(default_factory=dict)
    move_from_s: float = 0.0
    move_to_s: float = 0.0
    move_steps: Annotated[int, Field(ge=1)] = 10

    def weights(self, at_s: float) -> dict[RegionId, float]:
        """Return the weights of the regions at a time; empty means all alike."""
        if not self.moved_regions or at_s < self.move_from_s:
            return self.regions
        span = max(self.move_to_s - self.move_from_s, 1e-9)
        done = min(1.0, (at_s - self.move_from_s) / span)
        part = int(done * self.move_steps) / self.move_steps
        names = self.regions.keys() | self.moved_regions.keys()
        return {
            name: (1 - part) * self.regions.get(name, 0.0)
            + part * self.moved_regions.get(name, 0.0)
            for name in names
        }


class Experiment(Model):
    """Arrivals and faults of one run against the entries of a deployment."""

    name: str
    seed: int = 1
    duration_s: Annotated[float, Field(gt=0)]
    deployment: Path
    streams: tuple[Stream, ...]
    faults: tuple[Fault, ...] = ()


def load_experiment(path: Path) -> Experiment:
    """Read an experiment, or raise SettingsInvalid with all its errors."""
    return Experiment.model_validate(read_model(path, Experiment))

"""``masticdeck-timeline``: the events of all processes, in order."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from aiohttp import ClientSession

from masticdeck.errors import RequestInvalid, SettingsInvalid
from masticdeck.events import Code, Event
from masticdeck.programs.runtime import EXIT_OK, run
from masticdeck.programs.timeline_page import render_page
from masticdeck.protocol.event_feed import (
    decode_events,
    decode_log,
    encode_events,
    fetch_events,
)
from masticdeck.state.deployment import load_deployment
from masticdeck.state.timeline import Filter, Timeline, lines

FOLLOW_PERIOD_S = 0.5


@cappa.command(
    name="masticdeck-timeline",
    description="Collect, merge, filter and show the events of all processes.",
)
@dataclass(frozen=True)
class TimelineCommand:
    """Command line of the time line."""

    deployment: Annotated[
        Path | None, cappa.Arg(long=True, help="deployment file: ask all its entries")
    ] = None
    url: Annotated[
        list[str], cappa.Arg(long=True, help="ask this process, may be repeated")
    ] = field(default_factory=list)
    load: Annotated[
        list[Path], cappa.Arg(long=True, help="read events that --save wrote")
    ] = field(default_factory=list)
    log: Annotated[
        list[Path], cappa.Arg(long=True, help="read a log of JSON lines as it is")
    ] = field(default_factory=list)
    request: Annotated[
        str | None, cappa.Arg(long=True, help="only this request's events")
    ] = None
    order: Annotated[
        str | None, cappa.Arg(long=True, help="only the events of this order's key")
    ] = None
    proposal: Annotated[
        str | None, cappa.Arg(long=True, help="only this proposal's events")
    ] = None
    instance: Annotated[
        str | None, cappa.Arg(long=True, help="only this backend instance's events")
    ] = None
    zone: Annotated[
        str | None, cappa.Arg(long=True, help="only processes of this zone")
    ] = None
    subject: Annotated[
        list[str], cappa.Arg(long=True, help="NAME=VALUE, may be repeated")
    ] = field(default_factory=list)
    code: Annotated[
        list[int], cappa.Arg(long=True, help="only this event number, may be repeated")
    ] = field(default_factory=list)
    follow: Annotated[
        bool, cappa.Arg(long=True, help="go on printing new events until interrupted")
    ] = False
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON lines")] = False
    save: Annotated[
        Path | None, cappa.Arg(long=True, help="write all collected events to a file")
    ] = None
    html: Annotated[
        Path | None, cappa.Arg(long=True, help="write an HTML page of the events")
    ] = None


def main() -> None:
    """Run the time line program."""
    command = cappa.parse(TimelineCommand)
    sys.exit(run(lambda: show(command)))


async def show(command: TimelineCommand) -> int:
    """Collect the events and show them as the command asks."""
    urls = list(command.url)
    zones: dict[str, str] = {}
    if command.deployment is not None:
        deployment = load_deployment(command.deployment)
        urls += [entry.url for entry in deployment.entries]
        zones = {entry.id: entry.zone for entry in deployment.entries}
    if not (urls or command.load or command.log):
        raise SettingsInvalid("name a --deployment, a --url, a --log or a --load file")
    chosen = make_filter(command, zones)
    timeline = Timeline()
    for path in command.load:
        timeline.add(decode_events(path.read_bytes()))
    for path in command.log:
        timeline.add(decode_log(path.read_bytes()))
    async with ClientSession() as session:
        await collect(session, urls, timeline)
        events = timeline.ordered(chosen)
        write(command, timeline, events)
        while command.follow:
            await asyncio.sleep(FOLLOW_PERIOD_S)
            new = await collect(session, urls, timeline)
            append(command, new)
            print_events(command, sorted(filter(chosen.keeps, new), key=event_stamp))
    return EXIT_OK


def event_stamp(event: Event) -> int:
    """Return an event's stamp."""
    return event.stamp


def make_filter(command: TimelineCommand, zones: dict[str, str]) -> Filter:
    """Return the filter that the options describe."""
    subjects = dict(split_subject(text) for text in command.subject)
    for name in ("request", "order", "proposal", "instance"):
        value = getattr(command, name)
        if value is not None:
            subjects[name] = value
    processes: frozenset[str] = frozenset()
    if command.zone is not None:
        processes = frozenset(
            one for one, zone in zones.items() if zone == command.zone
        )
        if not processes:
            raise SettingsInvalid(f"no process is known in zone {command.zone!r}")
    try:
        codes = frozenset(Code(number) for number in command.code)
    except ValueError as error:
        raise RequestInvalid(f"{error}; see docs/EVENTS.md") from None
    return Filter(subjects=subjects, codes=codes, processes=processes)


def split_subject(text: str) -> tuple[str, str]:
    """Return the two sides of NAME=VALUE."""
    name, separator, value = text.partition("=")
    if not separator:
        raise RequestInvalid(f"--subject {text!r} is not NAME=VALUE")
    return name, value


async def collect(
    session: ClientSession, urls: Iterable[str], timeline: Timeline
) -> list[Event]:
    """Ask every process for its new events and return those that were new.

    A process that does not answer is passed over; what it told before stays.
    """
    answers = await asyncio.gather(*(read_on(session, url, timeline) for url in urls))
    return [event for answer in answers for event in answer]


async def read_on(session: ClientSession, url: str, timeline: Timeline) -> list[Event]:
    """Return the events of one process that were not read before."""
    events: list[Event] = []
    while part := await fetch_events(session, url, timeline.read_until.get(url, 0)):
        timeline.read_until[url] = part[-1].stamp
        events += timeline.add(part)
    return events


def write(command: TimelineCommand, timeline: Timeline, events: list[Event]) -> None:
    """Write the files that the options name, and print the events."""
    if command.save is not None:
        command.save.write_bytes(encode_events(timeline.ordered()))
    if command.html is not None:
        named = (command.request, command.order, command.proposal, command.instance)
        title = next(filter(None, named), "time line")
        command.html.write_text(render_page(events, title=title), encoding="utf-8")
    print_events(command, events)


def append(command: TimelineCommand, events: list[Event]) -> None:
    """Add newly collected events to the file that ``--save`` names."""
    if command.save is not None and events:
        with command.save.open("ab") as file:
            file.write(encode_events(sorted(events, key=event_stamp)))


def print_events(command: TimelineCommand, events: list[Event]) -> None:
    """Print events as text or as JSON lines."""
    if command.json:
        sys.stdout.write(encode_events(events).decode())
    else:
        for line in lines(events):
            print(line)
    sys.stdout.flush()


if __name__ == "__main__":
    main()

"""What each subcommand of ``masticdeckctl`` does.

Each is a coroutine function in ``runners`` under the name of its command; it
prints and returns the exit status.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

import cappa
from aiohttp import ClientError
from cappa.base import create_completion_arg
from cappa.completion.shells import available_shells

from masticdeck.clock import boottime
from masticdeck.entry.operator_views import delta_view, touch_view
from masticdeck.errors import SettingsInvalid
from masticdeck.programs import ctl_options as options
from masticdeck.programs.ctl_client import (
    EXIT_DIFFER,
    EXIT_OK,
    EXIT_TIMEOUT,
    EXIT_VETOED,
    NoEntryReached,
    Refused,
    fetch_fleet,
)
from masticdeck.programs.ctl_lists import open_folder, write_folder
from masticdeck.programs.ctl_options import Ctl
from masticdeck.programs.ctl_output import (
    format_changes,
    format_fleet,
    format_json,
    format_outcome,
    format_proposals,
    format_table,
    format_touched,
)
from masticdeck.registry import Registry
from masticdeck.state.changes import make_delta, touched
from masticdeck.state.lists import schemas

POLL_S = 0.5
ID_BYTES = 6

Runner = Callable[[Ctl, Any], Awaitable[int]]
runners: Registry[Runner] = Registry("subcommand")


@runners.register("Check")
async def check(ctl: Ctl, command: options.Check) -> int:
    """Check the lists of a folder, here or at an entry."""
    folder = open_folder(command.folder)
    deployment = ctl.load()
    if deployment is not None:
        digest = folder.read(deployment).digest
    else:
        answer = await ctl.entries().call("POST", "check", folder.body())
        digest = answer["digest"]
    ctl.show({"valid": True, "digest": digest}, "the lists are valid")
    return EXIT_OK


@runners.register("Diff")
async def diff(ctl: Ctl, command: options.Diff) -> int:
    """Show what lists change and whom they touch."""
    folder = open_folder(command.folder)
    if command.against is None:
        answer = await ctl.entries().call("POST", "check", folder.body())
    else:
        deployment = ctl.load()
        if deployment is None:
            raise SettingsInvalid("--against needs --deployment")
        old = open_folder(command.against).read(deployment)
        new = folder.read(deployment)
        answer = {
            "changes": delta_view(make_delta(old, new)),
            "touched": [touch_view(one) for one in touched(old, new, deployment)],
        }
    text = f"{format_changes(answer['changes'])}\n\n{format_touched(answer['touched'])}"
    ctl.show(answer, text)
    return EXIT_OK


@runners.register("Propose")
async def propose(ctl: Ctl, command: options.Propose) -> int:
    """File a proposal."""
    folder = open_folder(command.folder)
    base = folder.base if command.base is None else command.base
    if base is None:
        raise SettingsInvalid(
            "the base version is not known: give --base, or start from "
            "masticdeckctl show --lists FOLDER"
        )
    name = command.id or f"p-{secrets.token_hex(ID_BYTES)}"
    print(f"proposal {name}", file=sys.stderr, flush=True)
    body = folder.body() | {"id": name, "base": base, "note": command.note}
    entries = ctl.entries()
    answer = await entries.call("POST", "proposals", body)
    if command.accept and answer["state"] == "pending":
        answer = await entries.call("POST", f"proposals/{quote(name)}/accept")
    ctl.show(answer, format_outcome(answer))
    return EXIT_OK


@runners.register("Show")
async def show(ctl: Ctl, command: options.Show) -> int:
    """Show one proposal, or the accepted version and all proposals."""
    entries = ctl.entries()
    if command.lists is not None:
        answer = await entries.call("GET", "configuration")
        write_folder(command.lists, answer["version"], answer)
        ctl.show(answer, f"version {answer['version']} written to {command.lists}")
    elif command.proposal is not None:
        answer = await entries.call("GET", f"proposals/{quote(command.proposal)}")
        ctl.show(answer, format_outcome(answer))
    else:
        answer = await entries.call("GET", "proposals")
        ctl.show(answer, format_proposals(answer))
    return EXIT_OK


@runners.register("Accept")
async def accept(ctl: Ctl, command: options.Accept) -> int:
    """Accept a proposal and wait for the outcome if asked."""
    entries = ctl.entries()
    path = f"proposals/{quote(command.proposal)}"
    answer = await entries.call("POST", f"{path}/accept")
    deadline = boottime() + command.wait_s
    while answer["state"] == "pending" and boottime() < deadline:
        await asyncio.sleep(POLL_S)
        answer = await entries.call("GET", path)
    ctl.show(answer, format_outcome(answer))
    if answer["state"] == "pending":
        return EXIT_TIMEOUT if command.wait_s else EXIT_OK
    return EXIT_OK if answer["state"] == "accepted" else EXIT_VETOED


@runners.register("Veto")
async def veto(ctl: Ctl, command: options.Veto) -> int:
    """Stop a proposal."""
    path = f"proposals/{quote(command.proposal)}/veto"
    answer = await ctl.entries().call("POST", path, {"reason": command.reason})
    ctl.show(answer, format_outcome(answer))
    return EXIT_OK


@runners.register("Withdraw")
async def withdraw(ctl: Ctl, command: options.Withdraw) -> int:
    """Take a proposal back."""
    path = f"proposals/{quote(command.proposal)}/withdraw"
    answer = await ctl.entries().call("POST", path)
    ctl.show(answer, format_outcome(answer))
    return EXIT_OK


@runners.register("Watch")
async def watch(ctl: Ctl, command: options.Watch) -> int:
    """Print the proposals whenever they or the accepted version change."""
    entries = ctl.entries()
    deadline = boottime() + command.for_s
    shown: Any = None
    while boottime() < deadline:
        try:
            answer = await entries.call("GET", "proposals")
        except (NoEntryReached, Refused) as error:
            if isinstance(error, Refused) and error.status < 500:
                raise
            print(error, file=sys.stderr, flush=True)
        else:
            if answer != shown:
                ctl.show(answer, f"{format_proposals(answer)}\n")
            shown = answer
        await asyncio.sleep(POLL_S)
    return EXIT_OK


@runners.register("History")
async def history(ctl: Ctl, command: options.History) -> int:
    """Show the latest accepted versions."""
    answer = await ctl.entries().call("GET", f"history?limit={command.limit}")
    columns = ["version", "proposal", "by", "digest"]
    rows = [[one[column] for column in columns] for one in answer["versions"]]
    ctl.show(answer, format_table(columns, rows))
    return EXIT_OK


@runners.register("Status")
async def status(ctl: Ctl, command: options.Status) -> int:
    """Ask every entry for its version."""
    entries = ctl.entries()

    async def ask(url: str) -> dict[str, Any]:
        try:
            answer: dict[str, Any] = await entries.ask(url, "GET", "status")
        except (Refused, ClientError, OSError, TimeoutError, ValueError) as error:
            return {"url": url, "error": str(error) or type(error).__name__}
        return answer | {"url": url}

    answers = await asyncio.gather(*(ask(url) for url in entries.urls))
    columns = [
        *("entry", "zone", "version", "era", "era_age_s"),
        *("known", "watcher", "error"),
    ]
    rows = [
        [one.get("entry") or one["url"], *(one.get(name) for name in columns[1:])]
        for one in answers
    ]
    ctl.show({"entries": answers}, format_table(columns, rows))
    same = len({(one.get("version"), one.get("known")) for one in answers}) == 1
    return (
        EXIT_OK if same and not any("error" in one for one in answers) else EXIT_DIFFER
    )


@runners.register("Fleet")
async def fleet(ctl: Ctl, command: options.Fleet) -> int:
    """Show what entries on a live fleet believe."""
    urls = [url.rstrip("/") for url in ctl.entry]
    if not urls:
        raise SettingsInvalid("name a metrics address by --entry")
    views = [await fetch_fleet(url, ctl.timeout_s) for url in urls]
    ctl.show(
        {"entries": views},
        "\n\n".join(format_fleet(view, command.service) for view in views),
    )
    return EXIT_OK


@runners.register("Drain")
async def drain(ctl: Ctl, command: options.Drain) -> int:
    """Drain an instance or an entry, or list the drains."""
    entries = ctl.entries()
    if command.id is None:
        answer = await entries.call("GET", "drains")
        columns = ["id", "kind", "by"]
        rows = [[one[column] for column in columns] for one in answer["drains"]]
        ctl.show(answer, format_table(columns, rows))
        return EXIT_OK
    method = "DELETE" if command.undo else "PUT"
    answer = await entries.call(method, f"drains/{quote(command.id)}")
    verb = "no longer drained" if command.undo else "drained"
    ctl.show(answer, f"{command.id} is {verb}")
    return EXIT_OK


@runners.register("Schema")
async def schema(ctl: Ctl, command: options.Schema) -> int:
    """Print the JSON schema of a list."""
    print(format_json(schemas()[command.list]))
    return EXIT_OK


@runners.register("Completion")
async def completion(ctl: Ctl, command: options.Completion) -> int:
    """Print the completion script of a shell."""
    argument = create_completion_arg(cappa.Arg(long=["--completion"]))
    if argument is None:
        raise SettingsInvalid("no completion")
    print(available_shells[command.shell].backend_template("masticdeckctl", argument))
    return EXIT_OK

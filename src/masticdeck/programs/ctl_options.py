"""The command line of ``masticdeckctl``."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa

from masticdeck.errors import SettingsInvalid
from masticdeck.programs.ctl_client import Entries
from masticdeck.programs.ctl_output import format_json
from masticdeck.state.deployment import Deployment, load_deployment

TOKEN_VARIABLE = "MASTICDECK_TOKEN"

Folder = Annotated[Path, cappa.Arg(help="folder with customers.jsonc and plans.jsonc")]
ProposalName = Annotated[
    str, cappa.Arg(value_name="proposal", help="the proposal's id")
]


@cappa.command(help="Check two lists and print every fault with its line and remedy.")
@dataclass(frozen=True)
class Check:
    """Check the lists of a folder, without entries if --deployment is given."""

    folder: Folder


@cappa.command(help="Compare lists with those in force, or with another folder.")
@dataclass(frozen=True)
class Diff:
    """Show what changes and which customers it touches."""

    folder: Folder
    against: Annotated[
        Path | None,
        cappa.Arg(long=True, help="older folder (needs --deployment)"),
    ] = None


@cappa.command(help="Propose the lists of a folder.")
@dataclass(frozen=True)
class Propose:
    """File a proposal; its id is printed first, for a safe repetition."""

    folder: Folder
    id: Annotated[str | None, cappa.Arg(long=True, help="id of the proposal")] = None
    base: Annotated[
        int | None,
        cappa.Arg(long=True, help="version that the lists were made from"),
    ] = None
    note: Annotated[str, cappa.Arg(long=True, help="why, for the customers")] = ""
    accept: Annotated[
        bool, cappa.Arg(long=True, help="accept when the veto window ends")
    ] = False


@cappa.command(help="Show the accepted version and the proposals, or one proposal.")
@dataclass(frozen=True)
class Show:
    """Show what is accepted and what is pending."""

    proposal: Annotated[
        str | None, cappa.Arg(help="the proposal's id, all without it")
    ] = None
    lists: Annotated[
        Path | None,
        cappa.Arg(long=True, help="write the lists in force into this folder"),
    ] = None


@cappa.command(help="Accept a proposal, at the end of its veto window.")
@dataclass(frozen=True)
class Accept:
    """Accept a proposal."""

    proposal: ProposalName
    wait_s: Annotated[
        float, cappa.Arg(long="--wait", help="wait so many seconds for the outcome")
    ] = 0.0


@cappa.command(help="Stop a proposal in the name of the token's customer.")
@dataclass(frozen=True)
class Veto:
    """Stop a proposal."""

    proposal: ProposalName
    reason: Annotated[str, cappa.Arg(long=True, help="told to the operators")] = ""


@cappa.command(help="Take a proposal back.")
@dataclass(frozen=True)
class Withdraw:
    """Take a proposal back."""

    proposal: ProposalName


@cappa.command(help="Print each change of versions and proposals.")
@dataclass(frozen=True)
class Watch:
    """Print changes until --for seconds have passed."""

    for_s: Annotated[
        float, cappa.Arg(long="--for", help="stop after so many seconds")
    ] = 1e9


@cappa.command(help="Show the latest accepted versions.")
@dataclass(frozen=True)
class History:
    """Show the latest accepted versions, the newest first."""

    limit: Annotated[int, cappa.Arg(long=True, help="number of versions")] = 20


@cappa.command(help="Show the version in force at every entry.")
@dataclass(frozen=True)
class Status:
    """Ask every entry; exits with 9 when one fails or they differ."""


@cappa.command(help="Show routes, instances and budgets as an entry sees them.")
@dataclass(frozen=True)
class Fleet:
    """Ask the metrics addresses of entries on a live fleet."""

    service: Annotated[
        str | None, cappa.Arg(long=True, help="only this service's instances")
    ] = None


@cappa.command(help="Drain an instance or an entry, list the drains without an id.")
@dataclass(frozen=True)
class Drain:
    """Drain an instance or an entry."""

    id: Annotated[str | None, cappa.Arg(help="instance or entry")] = None
    undo: Annotated[bool, cappa.Arg(long=True, help="end the drain")] = False


@cappa.command(help="Print the JSON schema of the list files.")
@dataclass(frozen=True)
class Schema:
    """Print a schema."""

    list: Annotated[
        Literal["customers", "plans"], cappa.Arg(help="which of the two lists")
    ]


@cappa.command(help="Print the completion script of a shell.")
@dataclass(frozen=True)
class Completion:
    """Print a completion script."""

    shell: Annotated[
        Literal["bash", "zsh", "fish"], cappa.Arg(help="name of the shell")
    ] = "bash"


Command = (
    Check
    | Diff
    | Propose
    | Show
    | Accept
    | Veto
    | Withdraw
    | Watch
    | History
    | Status
    | Fleet
    | Drain
    | Schema
    | Completion
)


@cappa.command(
    name="masticdeckctl",
    description="Check, propose, accept and veto changes of the two lists.",
)
@dataclass(frozen=True)
class Ctl:
    """Command line; the options may also stand after the subcommand."""

    command: Annotated[Command, cappa.Subcommand()]
    entry: Annotated[
        list[str],
        cappa.Arg(long=True, propagate=True, help="URL of an entry, may be repeated"),
    ] = field(default_factory=list)
    deployment: Annotated[
        Path | None,
        cappa.Arg(long=True, propagate=True, help="deployment file, names all entries"),
    ] = None
    token_file: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            propagate=True,
            help=f"file with the token, else {TOKEN_VARIABLE}",
        ),
    ] = None
    timeout_s: Annotated[
        float,
        cappa.Arg(long="--timeout", propagate=True, help="seconds for one entry"),
    ] = 10.0
    json: Annotated[
        bool, cappa.Arg(long=True, propagate=True, help="print JSON instead of tables")
    ] = False

    def load(self) -> Deployment | None:
        """Return the deployment named on the command line, if any."""
        return None if self.deployment is None else load_deployment(self.deployment)

    def entries(self) -> Entries:
        """Return the client of the entries named on the command line."""
        urls = [url.rstrip("/") for url in self.entry]
        deployment = self.load()
        if deployment is not None and not urls:
            urls = [entry.url for entry in deployment.entries]
        if not urls:
            raise SettingsInvalid("name an entry by --entry or --deployment")
        return Entries(urls=urls, token=self.token(), timeout_s=self.timeout_s)

    def token(self) -> str:
        """Return the token of the operator or customer."""
        if self.token_file is None:
            return os.environ.get(TOKEN_VARIABLE, "")
        try:
            return self.token_file.read_text(encoding="utf-8").strip()
        except OSError as error:
            raise SettingsInvalid(f"{self.token_file}: {error.strerror}") from None

    def show(self, value: Any, text: str) -> None:
        """Print a value as JSON or as text."""
        print(format_json(value) if self.json else text, flush=True)

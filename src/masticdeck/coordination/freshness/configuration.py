"""Age of the configuration in force, which may be older than the replica."""

from __future__ import annotations

from typing import final

from masticdeck.coordination.feed import RecordReplica


@final
class ConfigurationProof:
    """Tells when the configuration in force was last provably the newest one.

    An unreadable configuration leaves the one before in force. That one may hold keys
    which the unreadable one has removed, so its proof no longer advances.
    """

    def __init__(self, replica: RecordReplica) -> None:
        self.replica = replica
        self.last_proved_at: float | None = None

    def record_read(self, is_readable: bool) -> None:
        """Take in whether the newest configuration could be read.

        The replica calls this before it advances its own proof.
        """
        if is_readable:
            self.last_proved_at = None
        elif self.last_proved_at is None:
            self.last_proved_at = self.replica.proved_at

    def age_s(self, now: float) -> float:
        """Return the time since the configuration in force was provably the newest."""
        proved_at = self.replica.proved_at
        return now - (proved_at if self.last_proved_at is None else self.last_proved_at)

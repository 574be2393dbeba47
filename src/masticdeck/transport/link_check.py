"""Distinguishes a dead link from a peer that is alive but does not read.

Either leaves bytes unacknowledged. The kernel's ``TCP_USER_TIMEOUT`` does not tell them
apart: it also counts the time in which a peer with a full window answers every probe.
The figures of ``TCP_INFO`` do, see tcp(7).
"""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum
from typing import NamedTuple

from masticdeck.transport.connection_end.delivery import unacknowledged_bytes

UNACKED_S = 0.7
"""How long sent bytes may stay unacknowledged before the link counts as dead.

Two retransmissions at the kernel's least timeout of 200 ms fit into it. A busy
instance acknowledges at once, so only one that is cut off or without power
loses its connections.
"""

CHECK_INTERVAL_S = 0.1
"""Seconds between two checks of a link whose bytes are outstanding."""

MAX_LOST_PROBES = 2
"""Consecutive unanswered probes of a full window that a living link may have.

A Linux peer answers such a probe at most every 0.5 s, and one more may be lost.
"""

TCP_INFO = struct.Struct("=2xBB20xI28xI")
"""Retransmissions, window probes, segments in flight and the age of the last
acknowledgement in ms; the other fields are skipped."""


class LinkState(Enum):
    """What is known of the bytes that were written to a connection."""

    QUIET = "quiet"
    """All of them were acknowledged."""

    PENDING = "pending"
    """Some are on their way, or the kernel gives no figures."""

    WINDOW_FULL = "window-full"
    """The peer acknowledged all that it has room for, and does not read."""

    DEAD = "dead"
    """Nothing was acknowledged for too long, though it was sent again."""


class LinkFigures(NamedTuple):
    """What the kernel tells of a connection.

    ``outstanding_bytes`` are those written and not acknowledged, sent or not;
    ``segments_in_flight`` were sent. ``retransmissions`` and ``lost_probes`` count
    since the last acknowledgement, which came ``since_ack_s`` seconds ago.
    """

    outstanding_bytes: int
    segments_in_flight: int
    retransmissions: int
    lost_probes: int
    since_ack_s: float


def read_figures(transport: asyncio.Transport) -> LinkFigures | None:
    """Return the kernel's figures of a connection, None if it has none."""
    kernel_bytes = unacknowledged_bytes(transport)
    if kernel_bytes is None:
        return None
    sock = transport.get_extra_info("socket")
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        retransmissions, lost_probes, in_flight, since_ack_ms = TCP_INFO.unpack(data)
    except (OSError, struct.error):
        return None
    return LinkFigures(
        kernel_bytes + transport.get_write_buffer_size(),
        in_flight,
        retransmissions,
        lost_probes,
        since_ack_ms / 1000,
    )


def judge_link(figures: LinkFigures | None, waited_s: float) -> LinkState:
    """Return the state of a link on which bytes were written ``waited_s`` ago.

    The last acknowledgement may be of an earlier exchange, and older than the bytes.

    >>> judge_link(LinkFigures(100, 1, 2, 0, since_ack_s=9.0), waited_s=0.8)
    <LinkState.DEAD: 'dead'>
    >>> judge_link(LinkFigures(100, 0, 0, 1, since_ack_s=9.0), waited_s=0.8)
    <LinkState.WINDOW_FULL: 'window-full'>
    """
    if figures is None:
        return LinkState.PENDING
    if not figures.outstanding_bytes:
        return LinkState.QUIET
    if not figures.segments_in_flight:
        if figures.lost_probes > MAX_LOST_PROBES:
            return LinkState.DEAD
        return LinkState.WINDOW_FULL
    silent_s = min(waited_s, figures.since_ack_s)
    if silent_s >= UNACKED_S and figures.retransmissions:
        return LinkState.DEAD
    return LinkState.PENDING

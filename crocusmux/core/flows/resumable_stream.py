"""Byte stream that survives the loss of its connections, without I/O.

The caller's library and the holder's agent run the same state machine.  Each
end keeps the bytes that the other's application has not taken yet, and sends
them again on the next connection.  Several connections may be open at once:
bytes are accepted from all of them and sent on the newest.

Bounds: an end buffers at most ``limit`` bytes to send, and has at most
``WINDOW_BYTES`` sent that are not acknowledged.  An acknowledgement says that
the application has taken the bytes, so the window also bounds what a peer
that does not read has to keep.

Unlike the decision cores it is driven by pulling: after each input the shell
asks ``next_frame`` for frames until there is none, as fast as the connection
takes them.
"""

from crocusmux import errors
from crocusmux import frames
from crocusmux import messages

BUFFER_BYTES = 262_144
# Part of the protocol: a peer may send this much beyond the last Ack.
WINDOW_BYTES = 262_144
# Bytes taken before an Ack is due, while more wait to be taken.  A quarter of
# the window keeps a sender busy with few Acks.
ACK_BYTES = WINDOW_BYTES // 4


class StreamConnection:
    """One connection of a stream.

    Attributes:
        ready: True once the peer's Hello has arrived.
        hello_sent: True once our Hello was handed out.
        end_sent: True once our End was handed out.
    """

    __slots__ = ("acked", "end_sent", "fin_sent", "hello_sent", "ready", "sent")

    def __init__(self) -> None:
        self.ready = False
        self.hello_sent = False
        self.fin_sent = False
        self.end_sent = False
        self.sent = 0  # position of the next byte to send
        self.acked = 0  # last Ack sent


class ResumableStream:
    """One end of a resumable flow.

    Attributes:
        flow: The 16 random bytes that identify the flow.
        initiator: True at the caller, False at the holder.
        accepted: True once a Hello of the peer has arrived.
        offered: True at the caller once a Hello was handed to a connection;
            from then on the flow may be known to a holder.
        outcome: Empty while the flow runs, else its outcome.
        reason: Why the flow ended, if not answered.
        told: True once our End was handed to a connection.
        joined: Connections on which a Hello of the peer has arrived.
    """

    __slots__ = (
        "_acked",
        "_buffer",
        "_eof",
        "_fin",
        "_limit",
        "_links",
        "_peer_ended",
        "_peer_received",
        "_received",
        "_unread",
        "accepted",
        "flow",
        "hellos_received",
        "is_caller",
        "opening_sent",
        "outcome",
        "outcome_sent",
        "reason",
    )

    def __init__(
        self, flow: bytes, *, is_caller: bool, limit: int = BUFFER_BYTES
    ) -> None:
        self.flow = flow
        self.is_caller = is_caller
        self.accepted = False
        self.opening_sent = False
        self.outcome = ""
        self.reason = ""
        self.outcome_sent = False
        self.hellos_received = 0
        self._limit = limit
        self._buffer = bytearray()  # bytes from offset _acked on
        self._acked = 0  # the peer's application has taken so much
        self._peer_received = 0  # the peer has at least so much
        self._eof = False
        self._unread = bytearray()
        self._received = 0
        self._fin: int | None = None  # where the peer's direction ends
        self._peer_ended = False
        self._links: list[StreamConnection] = []  # ready ones, the newest last

    # The application's side.

    def writable_bytes(self) -> int:
        """Returns how many bytes ``write`` takes now."""
        return max(0, self._limit - len(self._buffer))

    def write(self, data: bytes | memoryview) -> int:
        """Takes bytes to send; returns how many, 0 if the buffer is full.

        Raises:
            errors.FlowError: The flow has ended or ``write_eof`` was called.
        """
        if self.outcome or self._eof:
            raise errors.FlowError(
                self.reason or "the stream has ended", step="write"
            )
        taken = min(len(data), self.writable_bytes())
        self._buffer += data[:taken]
        return taken

    def write_eof(self) -> None:
        """Ends our direction after the bytes written so far."""
        self._eof = True

    def read(self, limit: int) -> bytes:
        """Returns up to ``limit`` received bytes; empty if there are none."""
        part = bytes(self._unread[:limit])
        del self._unread[:limit]
        return part

    def readable_bytes(self) -> int:
        """Returns how many received bytes wait to be read."""
        return len(self._unread)

    def at_eof(self) -> bool:
        """Returns whether all bytes up to the peer's Fin have been read."""
        return self._fin is not None and self._consumed() == self._fin

    def end(self, outcome: str, reason: str = "") -> None:
        """Ends the flow at this end; the first outcome stands.

        An answered flow sends its bytes and its Fin first; any other outcome
        is sent at once.
        """
        if not self.outcome:
            self.outcome, self.reason = outcome, reason
            if outcome != messages.ANSWERED:
                self._buffer.clear()
            elif not self.is_caller:
                self._eof = True

    # The connections' side.

    def new_connection(self) -> StreamConnection:
        """Returns the state of a new connection."""
        return StreamConnection()

    def remove_connection(self, link: StreamConnection) -> None:
        """Forgets a connection; the newest of the others takes over.

        Each connection keeps its own position, so what it carries has no gap
        whichever connections come and go beside it.
        """
        if link in self._links:
            self._links.remove(link)

    def is_done(self, link: StreamConnection) -> bool:
        """Returns whether nothing more is to be sent or awaited on a link."""
        if self.is_caller:
            return link.end_sent
        return self._peer_ended

    def is_finished(self) -> bool:
        """Returns whether both ends know that the flow has ended."""
        return bool(self.outcome) and self._peer_ended

    def on_frame(self, link: StreamConnection, frame: frames.AnyFrame) -> None:
        """Takes a frame from a connection.

        Raises:
            errors.WireError: The frame breaks the protocol; the connection
                must be closed, and the flow may resume on another.
        """
        if isinstance(frame, frames.Hello):
            self._on_hello(link, frame)
            return
        if isinstance(frame, frames.End) and self.is_caller:
            # A balancer refuses a flow without a Hello of a holder.
            self._on_end(link, frame)
            return
        if not link.ready:
            raise _error("first frame is not a Hello")
        if isinstance(frame, frames.Data):
            self._on_data(frame)
        elif isinstance(frame, frames.Ack):
            self._on_ack(frame)
        elif isinstance(frame, frames.Fin):
            self._on_fin(frame)
        else:
            self._on_end(link, frame)

    def next_frame(self, link: StreamConnection) -> frames.AnyFrame | None:
        """Returns the next frame to send on a connection, or None."""
        if not link.hello_sent and (self.is_caller or link.ready):
            link.hello_sent = True
            self.opening_sent = True
            resume = self.accepted or not self.is_caller
            return frames.Hello(self.flow, resume, self._received)
        if not link.ready and not (self.is_caller and self.outcome):
            return None
        if self.outcome and (
            self.is_caller or self.outcome != messages.ANSWERED
        ):
            return self._next_end(link)
        if not self._links or link is not self._links[-1]:
            return None
        return (
            self._next_ack(link)
            or self._next_data(link)
            or self._next_fin(link)
            or (self._next_end(link) if link.fin_sent else None)
        )

    def _next_ack(self, link: StreamConnection) -> frames.Ack | None:
        consumed = self._consumed()
        due = consumed - link.acked
        if due >= ACK_BYTES or (due and not self._unread):
            link.acked = consumed
            return frames.Ack(consumed)
        return None

    def _next_data(self, link: StreamConnection) -> frames.Data | None:
        link.sent = max(link.sent, self._peer_received)
        stop = min(self._written(), self._acked + WINDOW_BYTES)
        size = min(stop - link.sent, frames.CHUNK_BYTES)
        if size <= 0:
            return None
        start = link.sent - self._acked
        link.sent += size
        return frames.Data(
            link.sent - size, bytes(self._buffer[start : start + size])
        )

    def _next_fin(self, link: StreamConnection) -> frames.Fin | None:
        if not self._eof or link.fin_sent or link.sent < self._written():
            return None
        link.fin_sent = True
        return frames.Fin(self._written())

    def _next_end(self, link: StreamConnection) -> frames.End | None:
        if not self.outcome or link.end_sent:
            return None
        link.end_sent = True
        self.outcome_sent = True
        return frames.make_end_frame(self.outcome, self.reason)

    def _on_hello(self, link: StreamConnection, frame: frames.Hello) -> None:
        if frame.flow != self.flow:
            raise _error("Hello names another flow")
        if frame.received > self._written():
            # After an end with an error our buffer is gone, and with it the
            # offset that this check needs.
            if self.outcome in ("", messages.ANSWERED):
                raise _error("Hello acknowledges bytes that were not sent")
        else:
            self._peer_received = max(self._peer_received, frame.received)
        if link.ready:
            return
        if not self.is_caller and not self.accepted and frame.resume:
            # The holder that accepted the flow is gone.
            self.end(messages.UNKNOWN, "flow is not held here")
        self.accepted = True
        self.hellos_received += 1
        link.ready = True
        self._links.append(link)

    def _on_data(self, frame: frames.Data) -> None:
        if self.outcome:
            return
        stop = frame.offset + len(frame.data)
        if frame.offset > self._received:
            raise _error("Data leaves a gap")
        if self._fin is not None and stop > self._fin:
            raise _error("Data lies beyond the Fin")
        if stop > self._consumed() + WINDOW_BYTES:
            raise _error("Data lies beyond the window")
        if stop <= self._received:
            return
        self._unread += frame.data[self._received - frame.offset :]
        self._received = stop

    def _on_ack(self, frame: frames.Ack) -> None:
        if frame.offset <= self._acked:
            return
        if self.outcome and self.outcome != messages.ANSWERED:
            return
        if frame.offset > self._written():
            raise _error("Ack of bytes that were not sent")
        del self._buffer[: frame.offset - self._acked]
        self._acked = frame.offset
        self._peer_received = max(self._peer_received, frame.offset)

    def _on_fin(self, frame: frames.Fin) -> None:
        if self._fin is None and self.outcome:
            return
        if self._fin is None and frame.offset == self._received:
            self._fin = frame.offset
        elif self._fin != frame.offset:
            raise _error("Fin does not fit the bytes received")

    def _on_end(self, link: StreamConnection, frame: frames.End) -> None:
        outcome: str = frame.outcome
        reason = frame.reason
        if self.is_caller:
            if outcome == messages.ANSWERED and self._fin is None:
                raise _error("End of an answer without its Fin")
            if outcome == messages.REFUSED and not link.ready and self.accepted:
                # Only a balancer says this, such as one that has just started
                # and knows no services; the holder may still run the flow.
                raise _error("a balancer refused a flow that a holder has")
            if outcome == messages.REFUSED and (self._acked or self._received):
                # Bytes have passed an upstream, so "not run" cannot be true.
                outcome = messages.UNKNOWN
                reason = f"refused after bytes had passed: {reason}"
        elif not self.outcome:
            # The caller ends a flow first only to cancel it.
            outcome, reason = messages.UNKNOWN, reason or "cancelled"
        self._peer_ended = True
        self.end(outcome, reason)

    def _written(self) -> int:
        return self._acked + len(self._buffer)

    def _consumed(self) -> int:
        return self._received - len(self._unread)


def _error(reason: str) -> errors.WireError:
    return errors.WireError(reason, step="resumable stream")

"""Byte stream that survives the loss of its connections, without I/O.

The caller's library and the holder's agent run the same state machine.  Each
end keeps the bytes that the peer's application has not read yet, and sends
them again on the next connection.  Several connections may be open at once:
bytes are accepted from all of them and sent on the newest.

An end buffers at most ``limit`` bytes to send, of which at most
``WINDOW_BYTES`` are sent and not acknowledged.  Only bytes that the
application has read are acknowledged, so the window also bounds the receive
buffer of a peer that does not read.

Inputs return no outputs: after each one, ``next_frame`` is called until it
returns None, at the pace of the connection.
"""

from crocusmux import errors
from crocusmux import frames
from crocusmux import messages

BUFFER_BYTES = 262_144
# Part of the protocol: bytes that a peer may send beyond the last Ack.
WINDOW_BYTES = 262_144
# Bytes read by the application before the next Ack while more are unread.  A
# quarter of the window keeps a sender busy with few Acks.
ACK_BYTES = WINDOW_BYTES // 4


class Connection:
    """One connection of a stream.

    Attributes:
        ready: True once the peer's Hello has arrived.
        hello_sent: True once this end's Hello was returned for sending.
        end_sent: True once this end's End was returned for sending.
        sent: Offset of the next byte to send.
        acked: Offset in the last Ack sent.
    """

    __slots__ = ("acked", "end_sent", "fin_sent", "hello_sent", "ready", "sent")

    def __init__(self) -> None:
        self.ready = False
        self.hello_sent = False
        self.fin_sent = False
        self.end_sent = False
        self.sent = 0
        self.acked = 0


class ResumableStream:
    """One end of a resumable flow.

    Attributes:
        flow: The 16 random bytes that identify the flow.
        is_caller: True at the caller, False at the holder.
        accepted: True once a Hello of the peer has arrived.
        opening_sent: True once a Hello was sent; a holder may know the flow.
        outcome: Empty while the flow runs, else its outcome.
        reason: Reason of an outcome other than answered.
        outcome_sent: True once this end's End was returned for sending.
        hellos_received: Connections on which a Hello of the peer has arrived.
    """

    __slots__ = (
        "_acked",
        "_buffer",
        "_connections",
        "_eof_written",
        "_limit",
        "_peer_ended",
        "_peer_fin",
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
        self._acked = 0  # bytes that the peer's application has read
        self._peer_received = 0  # bytes that have arrived at the peer
        self._eof_written = False
        self._unread = bytearray()
        self._received = 0
        self._peer_fin: int | None = (
            None  # offset at which the peer's bytes end
        )
        self._peer_ended = False
        self._connections: list[Connection] = []  # ready ones, the newest last

    # The application's side.

    def writable_bytes(self) -> int:
        """Returns how many bytes ``write`` accepts now."""
        return max(0, self._limit - len(self._buffer))

    def write(self, data: bytes | memoryview) -> int:
        """Buffers bytes to send; returns how many, 0 if the buffer is full.

        Raises:
            errors.FlowError: The flow has ended or ``write_eof`` was called.
        """
        if self.outcome or self._eof_written:
            raise errors.FlowError(
                self.reason or "the stream has ended", step="write"
            )
        accepted = min(len(data), self.writable_bytes())
        self._buffer += data[:accepted]
        return accepted

    def write_eof(self) -> None:
        """Ends this end's direction after the bytes written so far."""
        self._eof_written = True

    def read(self, limit: int) -> bytes:
        """Returns up to ``limit`` unread bytes; empty if there are none."""
        part = bytes(self._unread[:limit])
        del self._unread[:limit]
        return part

    def readable_bytes(self) -> int:
        """Returns how many received bytes are unread."""
        return len(self._unread)

    def at_eof(self) -> bool:
        """Returns whether all bytes up to the peer's Fin have been read."""
        return self._peer_fin is not None and self._consumed() == self._peer_fin

    def end(self, outcome: str, reason: str = "") -> None:
        """Ends the flow at this end; later outcomes are ignored.

        An answered flow sends its bytes and its Fin first; any other outcome
        is sent at once.
        """
        if not self.outcome:
            self.outcome, self.reason = outcome, reason
            if outcome != messages.ANSWERED:
                self._buffer.clear()
            elif not self.is_caller:
                self._eof_written = True

    # The connections' side.

    def new_connection(self) -> Connection:
        """Returns the state of a new connection."""
        return Connection()

    def remove_connection(self, connection: Connection) -> None:
        """Removes a lost connection; the newest remaining one is used next.

        Each connection has its own send offset, so the bytes on it have no
        gap, whichever other connections open and close.
        """
        if connection in self._connections:
            self._connections.remove(connection)

    def is_done(self, connection: Connection) -> bool:
        """Returns whether a connection has nothing left to send or receive."""
        if self.is_caller:
            return connection.end_sent
        return self._peer_ended

    def is_finished(self) -> bool:
        """Returns whether both ends know that the flow has ended."""
        return bool(self.outcome) and self._peer_ended

    def on_frame(self, connection: Connection, frame: frames.AnyFrame) -> None:
        """Handles a frame from a connection.

        Raises:
            errors.WireError: The frame breaks the protocol; the connection
                must be closed, and the flow may resume on another.
        """
        if isinstance(frame, frames.Hello):
            self._on_hello(connection, frame)
            return
        if isinstance(frame, frames.End) and self.is_caller:
            # A balancer refuses a flow with an End before any Hello.
            self._on_end(connection, frame)
            return
        if not connection.ready:
            raise _error("first frame is not a Hello")
        if isinstance(frame, frames.Data):
            self._on_data(frame)
        elif isinstance(frame, frames.Ack):
            self._on_ack(frame)
        elif isinstance(frame, frames.Fin):
            self._on_fin(frame)
        else:
            self._on_end(connection, frame)

    def next_frame(self, connection: Connection) -> frames.AnyFrame | None:
        """Returns the next frame to send on a connection, or None."""
        if not connection.hello_sent and (self.is_caller or connection.ready):
            connection.hello_sent = True
            self.opening_sent = True
            resume = self.accepted or not self.is_caller
            return frames.Hello(self.flow, resume, self._received)
        if not connection.ready and not (self.is_caller and self.outcome):
            return None
        if self.outcome and (
            self.is_caller or self.outcome != messages.ANSWERED
        ):
            return self._next_end(connection)
        if not self._connections or connection is not self._connections[-1]:
            return None
        return (
            self._next_ack(connection)
            or self._next_data(connection)
            or self._next_fin(connection)
            or (self._next_end(connection) if connection.fin_sent else None)
        )

    def _next_ack(self, connection: Connection) -> frames.Ack | None:
        consumed = self._consumed()
        due = consumed - connection.acked
        if due >= ACK_BYTES or (due and not self._unread):
            connection.acked = consumed
            return frames.Ack(consumed)
        return None

    def _next_data(self, connection: Connection) -> frames.Data | None:
        connection.sent = max(connection.sent, self._peer_received)
        stop = min(self._written(), self._acked + WINDOW_BYTES)
        size = min(stop - connection.sent, frames.CHUNK_BYTES)
        if size <= 0:
            return None
        start = connection.sent - self._acked
        connection.sent += size
        return frames.Data(
            connection.sent - size, bytes(self._buffer[start : start + size])
        )

    def _next_fin(self, connection: Connection) -> frames.Fin | None:
        if (
            not self._eof_written
            or connection.fin_sent
            or connection.sent < self._written()
        ):
            return None
        connection.fin_sent = True
        return frames.Fin(self._written())

    def _next_end(self, connection: Connection) -> frames.End | None:
        if not self.outcome or connection.end_sent:
            return None
        connection.end_sent = True
        self.outcome_sent = True
        return frames.make_end_frame(self.outcome, self.reason)

    def _on_hello(self, connection: Connection, frame: frames.Hello) -> None:
        if frame.flow != self.flow:
            raise _error("Hello names another flow")
        if frame.received > self._written():
            # A flow that ended with an error has no buffer any more, and so
            # no offset to check against.
            if self.outcome in ("", messages.ANSWERED):
                raise _error("Hello acknowledges bytes that were not sent")
        else:
            self._peer_received = max(self._peer_received, frame.received)
        if connection.ready:
            return
        if not self.is_caller and not self.accepted and frame.resume:
            # The holder that accepted the flow is gone.
            self.end(messages.UNKNOWN, "flow is not held here")
        self.accepted = True
        self.hellos_received += 1
        connection.ready = True
        self._connections.append(connection)

    def _on_data(self, frame: frames.Data) -> None:
        if self.outcome:
            return
        stop = frame.offset + len(frame.data)
        if frame.offset > self._received:
            raise _error("Data leaves a gap")
        if self._peer_fin is not None and stop > self._peer_fin:
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
        if self._peer_fin is None and self.outcome:
            return
        if self._peer_fin is None and frame.offset == self._received:
            self._peer_fin = frame.offset
        elif self._peer_fin != frame.offset:
            raise _error("Fin does not fit the bytes received")

    def _on_end(self, connection: Connection, frame: frames.End) -> None:
        outcome: str = frame.outcome
        reason = frame.reason
        if self.is_caller:
            if outcome == messages.ANSWERED and self._peer_fin is None:
                raise _error("End of an answer without its Fin")
            if (
                outcome == messages.REFUSED
                and not connection.ready
                and self.accepted
            ):
                # Sent by a balancer, for example one that has just started
                # and knows no services; the holder may still run the flow.
                raise _error("a balancer refused a flow that a holder has")
            if outcome == messages.REFUSED and (self._acked or self._received):
                # Bytes have reached an upstream, so the flow may have run.
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

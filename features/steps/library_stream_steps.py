import random

from behave import then
from behave import when
import msgspec

from crocusmux import errors
from crocusmux import frames
from crocusmux.core.flows import resumable_stream

FLOW = bytes(range(16))
MAX_STEPS = 100_000
WINDOW = 262_144
HELLO = frames.Hello(FLOW, False, 0)


class Pair:
    """Both ends of a flow, connections that break, and frames in flight."""

    def __init__(self, seed, size=200_000, limit=WINDOW):
        self.rng = random.Random(seed)
        self.caller = resumable_stream.ResumableStream(
            FLOW, is_caller=True, limit=limit
        )
        self.holder = resumable_stream.ResumableStream(FLOW, is_caller=False)
        self.data = {
            self.caller: self.rng.randbytes(size),
            self.holder: self.rng.randbytes(size // 2),
        }
        self.sent = dict.fromkeys(self.data, 0)
        self.got = {end: bytearray() for end in self.data}
        self.links = []

    def connect(self):
        """Opens a connection; returns ``step`` arguments by direction."""
        caller_link, holder_link = (
            self.caller.new_connection(),
            self.holder.new_connection(),
        )
        directions = [
            (self.caller, caller_link, self.holder, holder_link, []),
            (self.holder, holder_link, self.caller, caller_link, []),
        ]
        self.links.append(directions)
        return directions

    def lose(self, link):
        """Breaks a connection; one end may get frames in flight before."""
        self.links.remove(link)
        sender, send_link, receiver, recv_link, queue = self.rng.choice(link)
        sender.remove_connection(send_link)
        for frame in queue[: self.rng.randrange(len(queue) + 1)]:
            receiver.on_frame(recv_link, frame)
        receiver.remove_connection(recv_link)

    def step(self, sender, send_link, receiver, recv_link, queue):
        """Sends or delivers one frame."""
        if not queue or self.rng.random() < 0.8:
            frame = sender.next_frame(send_link)
            if frame is not None:
                queue.append(frames.decode(frames.encode(frame)))
                return
        if queue:
            receiver.on_frame(recv_link, queue.pop(0))

    def exchange(self, link):
        """Delivers frames in both directions until neither end has one."""
        moved = True
        while moved:
            moved = False
            for sender, send_link, receiver, recv_link, _ in link:
                while (frame := sender.next_frame(send_link)) is not None:
                    receiver.on_frame(recv_link, frame)
                    moved = True

    def work(self):
        """Writes and reads a random number of bytes at both ends."""
        for end, data in self.data.items():
            start, size = self.sent[end], self.rng.randrange(1, 40_000)
            if start < len(data) and not end.outcome:
                self.sent[end] += end.write(data[start : start + size])
                if self.sent[end] == len(data):
                    end.write_eof()
            self.got[end] += end.read(self.rng.randrange(30_000))
        if self.holder.at_eof() and not self.holder.writable_bytes() < WINDOW:
            self.holder.end("answered")

    def run(self, links, breaks):
        """Runs until the end; ``breaks(step)`` tells if a connection breaks."""
        for step in range(MAX_STEPS):
            if self.caller.at_eof() and self.holder.is_finished():
                return step
            while len(self.links) < links:
                self.connect()
            self.step(*self.rng.choice(self.rng.choice(self.links)))
            self.work()
            if breaks(step):
                self.lose(self.rng.choice(self.links))
        raise AssertionError("the flow did not end")

    def check(self):
        assert self.got[self.holder] == self.data[self.caller]
        assert self.got[self.caller] == self.data[self.holder]
        ends = (self.caller.outcome, self.holder.outcome)
        assert ends == ("answered", "answered"), ends


@when("200 kB pass both ways over {links:d} connections that break, seed {n:d}")
def run_with_breaks(context, links, n):
    pair = Pair(n)
    pair.run(links, lambda _: pair.rng.random() < 0.08)
    context.pairs = [pair]


@when("a short flow is repeated with a break after each number of steps")
def run_short_flows(context):
    context.pairs = [Pair(5, size=40_000)]
    steps = context.pairs[0].run(1, lambda _: False)
    assert steps > 20, steps
    for last in range(steps):
        context.pairs.append(Pair(5, size=40_000))
        context.pairs[-1].run(1, lambda step, last=last: step == last)


@when("200 kB pass both ways and copies of the first Hello arrive")
def run_duplicate_hello(context):
    pair = Pair(6)
    first, second = pair.connect(), pair.connect()
    for link in (first, first, second, second):
        link[0][2].on_frame(link[0][3], HELLO)

    def lose_newest(step):
        if step < 20:
            second[0][2].on_frame(second[0][3], HELLO)
        if step == 20:
            pair.lose(second)  # the flow must continue over the first

    pair.run(1, lose_newest)
    context.pairs = [pair]


@then("both directions arrive byte for byte, and both ends say answered")
def check_pairs(context):
    for pair in context.pairs:
        pair.check()


@then("a caller that writes on keeps 256 KiB and a holder gets 256 KiB")
def check_bounds(context):
    # The second limit lets the caller buffer more than the window.
    for limit in (WINDOW, 10**6):
        pair = Pair(7, limit=limit)
        link = pair.connect()
        written = 0
        for _ in range(100):
            written += pair.caller.write(bytes(50_000))
            pair.exchange(link)
        assert written == limit, written
        assert pair.holder.readable_bytes() == WINDOW, (
            pair.holder.readable_bytes()
        )


@then("the caller has an early answer and both ends say answered")
def check_early_answer(context):
    pair = Pair(8)
    link = pair.connect()
    pair.caller.write(bytes(200_000))
    while not pair.holder.readable_bytes():
        pair.step(*pair.rng.choice(link))
    pair.holder.write(b"too large")
    pair.holder.end("answered")
    pair.exchange(link)
    assert pair.caller.read(100) == b"too large"
    assert pair.caller.at_eof() and pair.holder.is_finished()
    assert (pair.caller.outcome, pair.holder.outcome) == ("answered",) * 2


@then("a caller whose bytes were read turns refused into unknown")
def check_late_refusal(context):
    pair = Pair(9)
    link = pair.connect()
    pair.caller.write(b"order")
    pair.exchange(link)
    pair.holder.read(100)
    pair.exchange(link)
    pair.caller.on_frame(link[0][1], frames.End("refused", "not ready"))
    assert pair.caller.outcome == "unknown", pair.caller.outcome


@then("a Hello that resumes an unknown flow gets the outcome unknown")
def check_unknown_resume(context):
    pair = Pair(10)
    pair.caller.accepted = True
    pair.exchange(pair.connect())
    assert pair.caller.outcome == "unknown", pair.caller.outcome


def wire_error(function, *args):
    try:
        function(*args)
    except errors.WireError as exc:
        return exc
    raise AssertionError("the input was accepted")


def receive_frames(*received):
    holder = resumable_stream.ResumableStream(FLOW, is_caller=False)
    link = holder.new_connection()
    for frame in received:
        holder.on_frame(link, frame)
    return holder


@then("the pieces 0-4, 2-6, 0-2 and 6-7 are read as 0-7")
def check_overlapping(context):
    pieces = ((0, b"abcd"), (2, b"cdef"), (0, b"ab"), (6, b"g"))
    holder = receive_frames(HELLO, *(frames.Data(*piece) for piece in pieces))
    assert holder.read(100) == b"abcdefg"


@then('a holder rejects the frame "{name}" because "{problem}"')
def check_rejected_frame(context, name, problem):
    byte = frames.Data(0, b"x")
    chunk = bytes(16_384)
    *before, bad = {
        "other flow": [frames.Hello(bytes(16), False, 0)],
        "no hello": [byte],
        "hello from future": [frames.Hello(FLOW, False, 1)],
        "gap": [HELLO, frames.Data(1, b"x")],
        "beyond window": [
            HELLO,
            *(frames.Data(at, chunk) for at in range(0, WINDOW + 1, 16_384)),
        ],
        "beyond fin": [HELLO, frames.Fin(0), byte],
        "ack from future": [HELLO, frames.Ack(1)],
        "second fin": [HELLO, byte, frames.Fin(1), frames.Fin(0)],
    }[name]
    receive_frames(*before)
    error = wire_error(receive_frames, *before, bad)
    assert problem in str(error), error


@then('the message "{name}" is rejected because "{problem}"')
def check_rejected_message(context, name, problem):
    def body(*fields):
        return b"\x01" + msgspec.msgpack.encode(fields)

    data = {
        "text": "hello",
        "empty": b"",
        "version 2": b"\x02" + frames.encode(frames.Fin(1))[1:],
        "oversized": b"\x01" + bytes(frames.MAX_FRAME_BYTES),
        "garbage": b"\x01\xc1\xff",
        "short flow id": body(1, b"short", False, 0),
        "long data": body(2, 0, bytes(16_385)),
        "bad outcome": body(5, "maybe", ""),
    }[name]
    error = wire_error(frames.decode, data, "10.0.0.1:9")
    assert problem in error.reason and error.peer == "10.0.0.1:9", error

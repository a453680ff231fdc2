"""Store stand-in whose calls fail in the ways that the platform documents."""

import asyncio
import contextlib
import json
from typing import Any

from tornado import httputil
from tornado import iostream

from features import store_standin

# Range of the delay of a late write, seconds (source: docs/design/overload.md).
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0
# Longest delay of an answer of a slow store; calls time out after 2 s.
MAX_SLOW_S = 1.2


class FaultyStore(store_standin.StoreStandIn):
    """Object store with faults that last until they are cleared.

    Attributes:
        fault: Kind of the present fault: "silent", "slow", "reset", "reject",
            "lost" or "late"; empty if there is none.
        cut_ips: Client addresses whose calls get no answer.
        writes_lost: Writes whose answer was lost or that were applied late.
    """

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.fault = ""
        self._degree = 0.0
        self.cut_ips: set[str] = set()
        self.writes_lost = 0
        self._unanswered: list[iostream.IOStream] = []

    def set_fault(self, kind: str, degree: float) -> None:
        """Starts a fault, or ends it, if its kind is empty."""
        self.fault, self._degree = kind, degree
        if kind == "reset":
            self.cut_watches()
        self.close_unanswered()

    def close_unanswered(self) -> None:
        """Closes the connections of calls that got no answer."""
        for stream in self._unanswered:
            stream.close()
        self._unanswered.clear()

    def handle_request(self, req: httputil.HTTPServerRequest) -> None:
        """Answers a request, or fails as the present fault says."""
        if self._is_silent_to(req):
            self._unanswered.append(_detach(req))
        elif self.fault == "reset":
            _detach(req).close()
        elif self.fault == "reject":
            self.respond(req, 429 if self._degree < 0.5 else 503)
        elif self.fault in ("lost", "late") and req.method != "GET":
            self._write_unanswered(req)
        else:
            super().handle_request(req)

    def _is_silent_to(self, req: httputil.HTTPServerRequest) -> bool:
        return self.fault == "silent" or req.remote_ip in self.cut_ips

    def _write_unanswered(self, req: httputil.HTTPServerRequest) -> None:
        """Applies a write without an answer: at once, or late and maybe twice.

        The connection of a late write stays open, so its client times out.
        """
        self.calls.append((req.method, req.uri))
        self.writes_lost += 1
        path = req.path.removeprefix(store_standin.OBJECTS)
        kind, _, name = path.partition("/")
        write = (req.method, kind, name, json.loads(req.body or b"null"))
        loop = asyncio.get_running_loop()
        if self.fault == "lost":
            self.write_object(*write)
            _detach(req).close()
            return
        delay_s = MIN_LATE_S + self._degree * (MAX_LATE_S - MIN_LATE_S)
        loop.call_later(delay_s, self.write_object, *write)
        if self._degree > 0.5:
            loop.call_later(MAX_LATE_S, self.write_object, *write)
        self._unanswered.append(_detach(req))

    def respond(
        self, req: httputil.HTTPServerRequest, status: int, body: Any = None
    ) -> None:
        """Sends an answer, unless the present fault delays or drops it."""
        if self._is_silent_to(req):
            self._unanswered.append(_detach(req))
            return
        delay_s = self._degree * MAX_SLOW_S if self.fault == "slow" else 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._send, req, status, body)

    def _send(
        self, req: httputil.HTTPServerRequest, status: int, body: Any
    ) -> None:
        # The client may have ended while its watch was pending.
        with contextlib.suppress(iostream.StreamClosedError):
            super().respond(req, status, body)


def _detach(req: httputil.HTTPServerRequest) -> iostream.IOStream:
    assert req.connection is not None
    # Only connections of HTTP/1 can be detached, and the server has no others.
    return req.connection.detach()  # type: ignore[attr-defined]

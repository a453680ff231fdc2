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
        degree: Strength of the fault, 0 to 1.
        cut_ips: Client addresses whose connections get no answer.
        writes_lost: Writes whose answer was lost or that were applied late.
    """

    def __init__(self, ip: str) -> None:
        """Serves at a free port of an IP address."""
        super().__init__(ip)
        self.fault = ""
        self.degree = 0.0
        self.cut_ips: set[str] = set()
        self.writes_lost = 0
        self._unanswered: list[tuple[str, iostream.IOStream]] = []

    def set_fault(self, kind: str, degree: float) -> None:
        """Starts a fault."""
        self.fault, self.degree = kind, degree
        if kind == "reset":
            self.cut_watches()

    def clear_fault(self) -> None:
        """Ends the fault, and closes the connections that got no answer."""
        self.fault = ""
        self._close_unanswered("")

    def cut_off(self, ip: str) -> None:
        """Lets the calls of a client get no answer."""
        self.cut_ips.add(ip)

    def reconnect(self, ip: str) -> None:
        """Ends ``cut_off``."""
        self.cut_ips.discard(ip)
        self._close_unanswered(ip)

    def _close_unanswered(self, ip: str) -> None:
        kept = []
        for client, stream in self._unanswered:
            if ip in ("", client):
                stream.close()
            else:
                kept.append((client, stream))
        self._unanswered = kept

    def handle_request(self, req: httputil.HTTPServerRequest) -> None:
        """Answers a request, or fails as the present fault says."""
        if self._is_silent_to(req):
            self._leave_unanswered(req)
        elif self.fault == "reset":
            _detach(req).close()
        elif self.fault == "reject":
            self.respond(req, 429 if self.degree < 0.5 else 503)
        elif self.fault in ("lost", "late") and req.method != "GET":
            self._write_unanswered(req)
        else:
            super().handle_request(req)

    def _is_silent_to(self, req: httputil.HTTPServerRequest) -> bool:
        return self.fault == "silent" or req.remote_ip in self.cut_ips

    def _leave_unanswered(self, req: httputil.HTTPServerRequest) -> None:
        self._unanswered.append((str(req.remote_ip), _detach(req)))

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
        delay_s = MIN_LATE_S + self.degree * (MAX_LATE_S - MIN_LATE_S)
        loop.call_later(delay_s, self.write_object, *write)
        if self.degree > 0.5:
            loop.call_later(MAX_LATE_S, self.write_object, *write)
        self._leave_unanswered(req)

    def respond(
        self, req: httputil.HTTPServerRequest, status: int, body: Any = None
    ) -> None:
        """Sends an answer, unless the present fault delays or drops it."""
        if self._is_silent_to(req):
            self._leave_unanswered(req)
        elif self.fault == "slow":
            asyncio.get_running_loop().call_later(
                self.degree * MAX_SLOW_S, self._send, req, status, body
            )
        else:
            self._send(req, status, body)

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

"""Test server for the users' platform's store, with its documented faults."""

import asyncio
import json
import urllib.parse

from tornado import httpserver
from tornado import netutil

OBJECTS = "/crocusmux/objects/"
PAGE_SIZE = 3


class StoreStandIn:
    """Objects by kind and name, with one revision counter for all.

    Attributes:
        calls: Method and path of each request.
        forced_status: HTTP status that rejects all requests; 0 for none.
        lost_responses: Number of next writes that are applied unanswered.
        delay_deletes: True if deletions stay unanswered until they are applied
            by ``apply_delayed``.
        rejected_ips: Client addresses that are rejected with status 503.
        rejected_kinds: Kinds whose requests are rejected with status 503.
        lost_watches: Kinds whose watches are not answered any more.
        list_delays: Times until lists of a kind are answered, in seconds.
        oldest_revision: First revision whose change is still in the history.
    """

    def __init__(self, ip="127.0.0.1"):
        self.calls = []
        self.forced_status = 0
        self.lost_responses = 0
        self.delay_deletes = False
        self.delayed = []
        self.oldest_revision = 0
        self.rejected_ips = set()
        self.rejected_kinds = set()
        self.lost_watches = set()
        self.list_delays = {}
        self.revision = 10
        self.objects = {}
        self.history = []
        self.pending_watches = []
        (sock,) = netutil.bind_sockets(0, ip)
        self.address = sock.getsockname()[:2]
        self.server = httpserver.HTTPServer(self.handle_request)
        self.server.add_socket(sock)

    def stop(self):
        self.server.stop()
        self.cut_watches()

    def put(self, kind, name, spec):
        """Writes an object, as an operator would."""
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "created": 1}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record_change(kind, item, False)

    def delete(self, kind, name):
        """Deletes an object; returns False if there is none."""
        item = self.objects.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._record_change(kind, item, True)
        return True

    def forget_history(self):
        """Drops all history and closes the watches."""
        self.oldest_revision = self.revision + 1
        self.cut_watches()

    def cut_watches(self):
        """Closes the connections of all pending watches without a response."""
        for req, *_ in self.pending_watches:
            req.connection.detach().close()
        self.pending_watches.clear()

    def handle_request(self, req):
        self.calls.append((req.method, req.uri))
        if self.forced_status:
            return self.respond(req, self.forced_status)
        if req.remote_ip in self.rejected_ips:
            return self.respond(req, 503)
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        name = urllib.parse.unquote(name)
        if kind in self.rejected_kinds:
            return self.respond(req, 503)
        if req.method == "GET" and "watch" in req.query_arguments:
            return self.watch_objects(req, kind)
        if req.method == "GET":
            loop = asyncio.get_running_loop()
            delay_s = self.list_delays.get(kind, 0.0)
            return loop.call_later(delay_s, self.list_objects, req, kind)
        body = json.loads(req.body or b"null")
        if self.delay_deletes and req.method == "DELETE":
            self.delayed.append((req.method, kind, name, body))
            return req.connection.detach().close()
        status = self.write_object(req.method, kind, name, body)
        if self.lost_responses:
            self.lost_responses -= 1
            return req.connection.detach().close()
        name = name or body["meta"]["name"]
        return self.respond(req, status, self.objects.get((kind, name)))

    def apply_delayed(self):
        """Applies the delayed writes, if their conditions still hold."""
        for write in self.delayed:
            self.write_object(*write)
        self.delayed.clear()

    def write_object(self, method, kind, name, body):
        meta = (body or {}).get("meta", {})
        name = name or meta["name"]
        known = self.objects.get((kind, name))
        if (known is not None) == (method == "POST"):
            return 409 if known else 404
        if (
            known
            and meta.get("rev", known["meta"]["rev"]) != (known["meta"]["rev"])
        ):
            return 409
        if method == "DELETE":
            self.delete(kind, name)
        elif known is None or known["spec"] != body["spec"]:
            self.put(kind, name, body["spec"])
        return 200

    def list_objects(self, req, kind):
        after = req.arguments.get("after", [b""])[0].decode()
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        body = {"items": items, "more": more, "current_rev": self.revision}
        self.respond(req, 200, body)

    def watch_objects(self, req, kind):
        since = int(req.arguments["watch"][0])
        if since + 1 < self.oldest_revision:
            return self.respond(req, 410)
        events = [e for rev, k, e in self.history if k == kind and rev > since]
        wait_s = int(req.arguments["wait_ms"][0]) / 1000
        # Without a wait there is no pending answer that could get lost.
        if events and (kind not in self.lost_watches or wait_s == 0):
            return self.respond_with_events(req, events)
        loop = asyncio.get_running_loop()
        entry = (req, kind)
        self.pending_watches.append(entry)
        loop.call_later(wait_s, self.end_watch, entry, [])
        return None

    def end_watch(self, entry, events):
        if entry in self.pending_watches:
            self.pending_watches.remove(entry)
            self.respond_with_events(entry[0], events)

    def respond_with_events(self, req, events):
        body = {"events": events, "current_rev": self.revision}
        self.respond(req, 200, body)

    def _record_change(self, kind, item, deleted):
        event = {"object": item, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        for entry in list(self.pending_watches):
            if entry[1] == kind and kind not in self.lost_watches:
                self.end_watch(entry, [event])

    def respond(self, req, status, body=None):
        data = json.dumps(body or {}).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
        stream = req.connection.detach()
        stream.write(head.encode() + data)
        stream.close()

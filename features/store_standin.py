"""Stand-in of the platform's store, with the faults that its pages name."""

import asyncio
import json
import urllib.parse

from tornado import httpserver
from tornado import netutil

OBJECTS = "/crocusmux/objects/"
PAGE = 3


class StoreStandIn:
    """Objects by kind and name under one revision.

    Attributes:
        calls: Method and path of each call.
        status: Status with which all calls are refused; 0 for none.
        lose_answers: Carry out so many writes without an answer.
        refused: Addresses of callers that are turned away with 503.
        keep_from: Changes before this revision are forgotten.
    """

    def __init__(self, ip="127.0.0.1"):
        self.calls = []
        self.status = 0
        self.lose_answers = 0
        self.keep_from = 0
        self.refused = set()
        self.revision = 10
        self.objects = {}
        self.history = []
        self.watches = []
        (sock,) = netutil.bind_sockets(0, ip)
        self.address = sock.getsockname()[:2]
        self.server = httpserver.HTTPServer(self.on_call)
        self.server.add_socket(sock)

    def stop(self):
        self.server.stop()
        self.cut_watches()

    def put(self, kind, name, spec):
        """Writes an object, as the operator does."""
        self.revision += 1
        meta = {"name": name, "rev": self.revision, "created": 1}
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._changed(kind, item, False)

    def delete(self, kind, name):
        """Deletes an object; returns False if there is none."""
        item = self.objects.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._changed(kind, item, True)
        return True

    def forget_history(self):
        """Drops all history and cuts the watches."""
        self.keep_from = self.revision + 1
        self.cut_watches()

    def cut_watches(self):
        """Cuts all waiting watches without an answer."""
        for req, *_ in self.watches:
            req.connection.detach().close()
        self.watches.clear()

    def on_call(self, req):
        self.calls.append((req.method, req.uri))
        if self.status:
            return self.answer(req, self.status)
        if req.remote_ip in self.refused:
            return self.answer(req, 503)
        kind, _, name = req.path.removeprefix(OBJECTS).partition("/")
        name = urllib.parse.unquote(name)
        if req.method == "GET" and "watch" in req.query_arguments:
            return self.on_watch(req, kind)
        if req.method == "GET":
            return self.on_list(req, kind)
        body = json.loads(req.body or b"null")
        done = self.on_write(req.method, kind, name, body)
        if self.lose_answers:
            self.lose_answers -= 1
            return req.connection.detach().close()
        return self.answer(req, done)

    def on_write(self, method, kind, name, body):
        if method == "DELETE":
            return 200 if self.delete(kind, name) else 404
        name = name or body["meta"]["name"]
        exists = (kind, name) in self.objects
        if exists == (method == "POST"):
            return 409 if exists else 404
        self.put(kind, name, body["spec"])
        return 200

    def on_list(self, req, kind):
        after = req.arguments.get("after", [b""])[0].decode()
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE]]
        more = len(names) > PAGE
        body = {"items": items, "more": more, "current_rev": self.revision}
        self.answer(req, 200, body)

    def on_watch(self, req, kind):
        since = int(req.arguments["watch"][0])
        if since + 1 < self.keep_from:
            return self.answer(req, 410)
        found = [e for rev, k, e in self.history if k == kind and rev > since]
        if found:
            return self.answer_events(req, found)
        wait = int(req.arguments["wait_ms"][0]) / 1000
        loop = asyncio.get_running_loop()
        entry = (req, kind)
        self.watches.append(entry)
        loop.call_later(wait, self.end_watch, entry, [])
        return None

    def end_watch(self, entry, events):
        if entry in self.watches:
            self.watches.remove(entry)
            self.answer_events(entry[0], events)

    def answer_events(self, req, events):
        body = {"events": events, "current_rev": self.revision}
        self.answer(req, 200, body)

    def _changed(self, kind, item, deleted):
        event = {"object": item, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        for entry in list(self.watches):
            if entry[1] == kind:
                self.end_watch(entry, [event])

    def answer(self, req, status, body=None):
        data = json.dumps(body or {}).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
        stream = req.connection.detach()
        stream.write(head.encode() + data)
        stream.close()

"""Stand-in of the platform's store (PROTOCOL.md, The platform's metadata
store): items, revisions, lists, watches, writes without leases."""

import asyncio
import base64
import json
import urllib.parse

PAGE = 500
ANSWER_S = 0.004
HISTORY = 5000


class Store:
    def __init__(self):
        self.items = {}
        self.events = []
        self.horizon = 0
        self.revision = 1
        self.changed = asyncio.Event()
        self.server = None
        self.calls = 0
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def stop(self):
        """The address answers no more: connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, key, value):
        """Writes the bytes value; returns the revision."""
        self.revision += 1
        self.items[key] = (self.revision, value)
        self.note({"key": key, "rev": self.revision, "created": self.revision,
                   "lease": 0, "value": base64.b64encode(value).decode()})
        return self.revision

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note({"key": key, "rev": self.revision, "deleted": True})

    def note(self, event):
        self.events.append(event)
        while len(self.events) > HISTORY:
            self.horizon = self.events.pop(0)["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        rev, value = self.items[key]
        return {"key": key, "rev": rev, "created": rev, "lease": 0,
                "value": base64.b64encode(value).decode()}

    def list_items(self, query):
        prefix = query.get("prefix", "")
        keys = sorted(k for k in self.items if k.startswith(prefix)
                      and k > query.get("after", ""))
        return 200, {"items": [self.item(k) for k in keys[:PAGE]],
                     "has_more": len(keys) > PAGE, "as_of": self.revision}

    async def watch(self, query):
        loop = asyncio.get_running_loop()
        after = int(query["after"])
        prefix = query.get("prefix", "")
        end = loop.time() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            if after < self.horizon:
                return 410, {}
            events = [e for e in self.events
                      if e["rev"] > after and e["key"].startswith(prefix)]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        call = json.loads(body)
        writes, removals = call.get("writes", []), call.get("remove", [])
        for key in [w["key"] for w in writes] + removals:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        for row in call.get("precondition", []):
            if self.items.get(row["key"], (0,))[0] != row["rev"]:
                known = [r["key"] for r in call["precondition"]]
                return 412, {"items": [self.item(k) for k in known
                                       if k in self.items]}
        for w in writes:
            self.put(w["key"], base64.b64decode(w["value"]))
        for key in removals:
            self.remove(key)
        return 200, {"rev": self.revision}

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query,
                                            keep_blank_values=True))
        await asyncio.sleep(ANSWER_S)
        if url.path == "/api/kv-key":
            key = query.get("key")
            if key not in self.items:
                return 404, {}
            return 200, {**self.item(key), "as_of": self.revision}
        if url.path == "/api/kv-range":
            return self.list_items(query)
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        if url.path == "/api/kv-txn" and method == "POST":
            return self.transact(body)
        return 404, {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                length = 0
                while (head := (await reader.readline()).strip()):
                    name, _, value = head.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                self.calls += 1
                method, target = line.decode().split()[:2]
                status, out = await self.answer(method, target, body)
                raw = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(raw)) + raw)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

"""Stand-in for the platform's store: rows, changes, transactions, faults."""
import asyncio
import base64
import json
import time
import urllib.parse

import wire

FEED_KEPT_S = 20.0    # history; the sites' history_s
ANSWER_S = 0.004      # time of an answer on the sites
MOST_ROWS = 500       # rows of one answer
READS = ("/v1/rows-get", "/v1/rows-feed")


class Store:
    """Keeps rows in memory. Faults are plain attributes."""

    def __init__(self):
        self.rows = {}          # (table, key) -> (version, value or None)
        self.history = []       # (time, version, table, key)
        self.version = 0
        self.forgotten = 0      # versions up to this one have no history
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0.0
        self.random = None      # set by the schedule
        self.script = None      # makes answers, of what isn't so
        self.calls = 0

    # What operators and endpoints do.

    def put(self, table, key, value):
        """@return The version; the row counts as written from now on."""
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, key] = (self.version, text)
        self.history.append((time.monotonic(), self.version, table, key))
        return self.version

    def remove(self, table, key):
        if (table, key) in self.rows and self.rows[table, key][1] is not None:
            self.version += 1
            self.rows[table, key] = (self.version, None)
            self.history.append((time.monotonic(), self.version, table, key))

    def forget_history(self):
        self.history.clear()
        self.forgotten = self.version

    # What daemons see.

    async def handle(self, request, writer):
        self.calls += 1
        await asyncio.sleep(ANSWER_S + self.slow_s)
        if self.down:
            return self.answer(503, {"error": "unavailable"})
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.script is not None and url.path in READS:
            return self.script({"Content-Type": "application/json"},
                               json.dumps(self.untrue(query)).encode())
        if url.path == "/v1/rows-get":
            return self.get(query)
        if url.path == "/v1/rows-feed":
            return self.feed(query)
        if url.path == "/v1/rows-tx" and request.method == "POST":
            return self.transact(json.loads(request.body))
        return self.answer(404, {"error": "no such call"})

    def transact(self, body):
        for entry in body.get("expect", []):
            held = self.rows.get((entry["table"], entry["key"]), (0, None))
            if held[0] != entry["ver"]:
                return self.answer(412, {"rows": []})
        for entry in body.get("put", []):
            self.put(entry["table"], entry["key"],
                     base64.b64decode(entry["value"]))
        for entry in body.get("remove", []):
            self.remove(entry["table"], entry["key"])
        if self.random.random() < self.lose_answers:
            return None
        return self.answer(200, {"ver": self.version})

    def get(self, query):
        first = query.get("from", "")
        keys = sorted(key for table, key in self.rows
                      if table == query["table"] and key >= first
                      and self.rows[table, key][1] is not None)
        rows = [self.row(query["table"], key) for key in keys[:MOST_ROWS]]
        return self.answer(200, {"rows": rows, "ver": self.version,
                                 "has_more": len(keys) > MOST_ROWS})

    def feed(self, query):
        after = int(query["after"])
        now = time.monotonic()
        while self.history and now - self.history[0][0] > FEED_KEPT_S:
            self.forgotten = self.history.pop(0)[1]
        if after < self.forgotten:
            return self.answer(410, {"error": "history is gone"})
        keys = {key: version for _, version, table, key in self.history
                if table == query["table"] and version > after}
        rows = [self.row(query["table"], key)
                for key, _ in sorted(keys.items(), key=lambda one: one[1])]
        return self.answer(200, {"rows": rows, "ver": self.version})

    def untrue(self, query):
        """Says that the configuration has no routes, and that all other rows
        are gone."""
        empty = base64.b64encode(json.dumps({
            "version": "fffffffe", "resources": []}).encode()).decode()
        rows = [{"table": table, "key": key, "ver": self.version,
                 **({"value": empty} if (table, key) == ("op", "config")
                    else {"tombstone": True})}
                for table, key in self.rows if table == query["table"]]
        return {"rows": rows, "ver": self.version, "has_more": False}

    def row(self, table, key):
        version, value = self.rows[table, key]
        if value is None:
            return {"table": table, "key": key, "ver": version,
                    "tombstone": True}
        return {"table": table, "key": key, "ver": version,
                "value": base64.b64encode(value).decode()}

    def answer(self, status, body):
        return wire.Answer(status, {"Content-Type": "application/json"},
                           json.dumps(body).encode())

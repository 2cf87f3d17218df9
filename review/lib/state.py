"""A stand-in of the state service: keys with revisions, prefixes, conditional commits, rate limits."""
import asyncio
import bisect
import json
import time
import urllib.parse
import pack
import net


def json_size(value):
    """The size of a value as JSON."""
    return len(json.dumps(value, separators=(",", ":")))


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.left, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < n:
            return False
        self.left -= n
        return True


class StateService:
    def __init__(self, limits, latency_s=0.004):
        self.limits, self.latency_s = limits, latency_s
        self.rows, self.keys, self.ledger = {}, [], 0  # key -> (value, revision)
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.out = False        # an outage: 503 for everyone
        self.on_commit = None   # called with the changes of every commit
        self.answer_hook = None  # async (node, method, path, result) -> result, or DROP
        self.refused = set()    # nodes that alone get 503

    def put(self, key, value):
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = (value, self.ledger)

    def put_all(self, rows):
        """Adds many new keys at one revision."""
        self.ledger += 1
        for key, value in rows:
            self.rows[key] = (value, self.ledger)
        self.keys = sorted(self.rows)

    def remove(self, key):
        if key in self.rows:
            del self.rows[key]
            del self.keys[bisect.bisect_left(self.keys, key)]

    async def handle(self, node, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if self.out or node in self.refused:
            return 503, None
        if not self.requests.take(1):
            return 429, None
        result = self.execute(method, path, query, body)
        if self.answer_hook:
            result = await self.answer_hook(node, method, path, result)
        return result

    def execute(self, method, path, query, body):
        if method == "GET" and path.startswith("/keys/"):
            row = self.rows.get(path[len("/keys/"):])
            if row is None:
                return 404, {"ledger": self.ledger}
            return 200, {"key": path[len("/keys/"):], "value": row[0], "stamp": row[1]}
        if method == "GET" and path == "/keys":
            return 200, self.page(dict(urllib.parse.parse_qsl(query)))
        if method == "POST" and path == "/commit":
            return self.commit(pack.decode(body))
        return 400, {"error": "unknown request"}

    def page(self, q):
        prefix, size = q["under"], min(int(q.get("page", "1000")), 1000)
        at = bisect.bisect_left(self.keys, prefix)
        if "since" in q:
            at = max(at, bisect.bisect_right(self.keys, q["since"]))
        rows, more, size_bytes = [], False, 0
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            key = self.keys[at]
            value, revision = self.rows[key]
            size_bytes += len(key) + 60 + (json_size(value) if len(rows) < 1000 else 0)
            if len(rows) >= size or size_bytes > 512 * 1024:
                more = True
                break
            rows.append({"key": key, "value": value, "stamp": revision})
            at += 1
        return {"rows": rows, "more": more, "ledger": self.ledger}

    def commit(self, m):
        conditions, changes = m.get("if") or [], m.get("apply") or []
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        if json_size(m) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        for c in changes:
            if "set" in c and json_size(c["value"]) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if not self.writes.take(len(changes)):
            return 429, None
        failed = [c["key"] for c in conditions
                  if (self.rows[c["key"]][1] if c["key"] in self.rows else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
            for c in changes:
                if "set" in c:
                    self.put(c["set"], c["value"])
                else:
                    self.remove(c["remove"])
            if self.on_commit:
                self.on_commit(changes)
        return 200, {"ledger": self.ledger}

    async def start(self, nodes):
        """Listens on a port of its own for each node, so that one node alone can be refused."""
        self.servers, self.ports = [], []
        for node in range(nodes):
            async def handler(method, path, query, body, node=node):
                return await self.handle(node, method, path, query, body)
            server, port = await net.serve(handler)
            self.servers.append(server)
            self.ports.append(port)

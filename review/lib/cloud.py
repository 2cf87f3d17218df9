"""A stand-in of the cloud: a fixed list of machines; it rents none (503 "no capacity")."""
import time
import urllib.parse
import pack
import net


class Cloud:
    def __init__(self, flavours):
        self.flavours, self.hosts, self.deleted = flavours, [], []
        self.started = time.monotonic()
        self.on_delete = None

    def add(self, worker):
        self.hosts.append(worker)
        self.hosts.sort(key=lambda w: w.host)

    async def handle(self, method, path, query, body):
        if method == "GET" and path == "/catalog":
            return 200, {"flavours": self.flavours}
        if method == "GET" and path == "/machines":
            since = dict(urllib.parse.parse_qsl(query)).get("since", "")
            age = time.monotonic() - self.started + 100.0
            return 200, {"more": False, "hosts": [
                {"nameId": w.host, "address": w.address, "flavour": w.flavour, "site": w.site,
                 "standby": w.standby, "status": "running", "ageS": age}
                for w in self.hosts if w.host > since]}
        if method == "POST" and path == "/machines":
            return 503, {"error": "no capacity"}
        if method == "POST" and path == "/machines/delete":
            for name in pack.decode(body)["hosts"]:
                for w in list(self.hosts):
                    if w.host == name:
                        self.hosts.remove(w)
                        self.deleted.append(name)
                        w.power_off()
                        if self.on_delete:
                            self.on_delete(name)
            return 200, {}
        return 400, None

    async def start(self):
        self.server, self.port = await net.serve(self.handle)

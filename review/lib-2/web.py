"""HTTP/1.1 with MessagePack bodies on asyncio streams: a server, a client, and a proxy that can hold or reset."""

import asyncio

import mp

NO_ANSWER = object()


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """handle(method, path, body) is awaited and returns (status, value), or NO_ANSWER to say nothing."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, raw = message
                method, path, _ = line.split(" ", 2)
                answer = await self.handle(method, path, raw)
                if answer is NO_ANSWER:
                    continue
                status, value = answer
                body = b"" if value is None else mp.pack(value)
                head = "HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(body))).encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Client:
    """One connection, kept open; call() returns (status, value, headers), or None for no answer in time."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def call(self, method, path, value=None, timeout=2.0, raw=None):
        body = raw if raw is not None else (b"" if value is None else mp.pack(value))
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            self.close()
            return None

    async def _call(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\n" % (method, path, self.port)
        if body:
            head += "Content-Type: application/msgpack\r\nContent-Length: %d\r\n" % len(body)
        self.writer.write(head.encode() + b"\r\n" + body)
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionResetError()
        line, headers, raw = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        value = None
        if raw:
            try:
                value = mp.unpack(raw)
            except (ValueError, IndexError):
                value = raw
        return int(line.split(" ")[1]), value, headers


class Proxy:
    """Passes bytes on. While held, it delivers nothing, and delivers all in order once it is released."""

    def __init__(self, target, port=0):
        self.target = target
        self.port = port
        self.open = asyncio.Event()
        self.open.set()
        self.refusing = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def refuse(self):
        """Resets what is open and refuses new connections, as a packet filter that rejects does."""
        self.server.close()
        self.reset()

    async def accept_again(self):
        await self.start()

    def stop(self):
        self.server.close()
        self.reset()

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        self.writers.add(writer)
        await self.open.wait()
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(back)
        await asyncio.gather(self._pass(reader, back), self._pass(there, writer))
        for w in (writer, back):
            self.writers.discard(w)
            w.transport.abort()

    async def _pass(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()


class Balancer:
    """The load balancer of the users: chooses a healthy node for each new connection and does not look into requests.

    nodes have port and healthy; the open connections of a node that has been unhealthy for 5 s are reset.
    """

    def __init__(self, nodes, clock):
        self.nodes, self.clock = nodes, clock
        self.open = {n: set() for n in nodes}
        self.failed = {}
        self.skip_until = {}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.watcher = asyncio.ensure_future(self._watch())
        return self

    def stop(self):
        self.server.close()
        self.watcher.cancel()
        for writers in self.open.values():
            for pair in list(writers):
                for writer in pair:
                    writer.transport.abort()

    async def _watch(self):
        since = {}
        while True:
            await asyncio.sleep(0.2)
            for node in self.nodes:
                if node.healthy:
                    since.pop(node, None)
                elif self.clock() - since.setdefault(node, self.clock()) > 5.0:
                    for pair in list(self.open[node]):
                        for writer in pair:
                            writer.transport.abort()

    async def _connect(self):
        tried = []
        while len(tried) < 3:
            nodes = [n for n in self.nodes if n.healthy and n not in tried
                     and self.clock() >= self.skip_until.get(n, 0)]
            if not nodes:
                return None
            node = min(nodes, key=lambda n: len(self.open[n]))
            tried.append(node)
            try:
                streams = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 0.5)
                self.failed[node] = 0
                return node, streams
            except (OSError, asyncio.TimeoutError):
                self.failed[node] = self.failed.get(node, 0) + 1
                if self.failed[node] >= 3:
                    self.skip_until[node] = self.clock() + 3.0
        return None

    async def _serve(self, reader, writer):
        found = await self._connect()
        if found is None:
            writer.transport.abort()
            return
        node, (there, back) = found
        pair = (writer, back)
        self.open[node].add(pair)

        async def move(source, target):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        return
                    target.write(data)
                    await target.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                for w in pair:
                    w.transport.abort()

        try:
            await asyncio.gather(move(reader, back), move(there, writer))
        finally:
            self.open[node].discard(pair)

"""HTTP/1.1 with MessagePack bodies on asyncio: a server and a client. Loopback only."""
import asyncio
import pack

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
           503: "Service Unavailable"}
errors = []      # faults of the stand-ins
DROP = object()  # returned by a handler: close the connection without a response


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
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(n) if n else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(handler, port=0):
    """handler(method, path, query, body) -> (status, value) or DROP; value None for an empty body."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                try:
                    result = await handler(method, path, query, message[2])
                except Exception as e:  # a fault of the stand-in: the case cannot be judged
                    errors.append(repr(e))
                    break
                if result is DROP:
                    break
                status, value = result
                payload = b"" if value is None else (value if isinstance(value, bytes) else pack.encode(value))
                writer.write(("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n"
                              % (status, REASONS.get(status, "Status"), len(payload))).encode() + payload)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One persistent connection. request() raises OSError or asyncio.TimeoutError when there is no response."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, value=None, timeout=4.0, connect_timeout=1.0):
        try:
            return await asyncio.wait_for(self._request(method, path, value, connect_timeout), timeout)
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, value, connect_timeout):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port, limit=1 << 22), connect_timeout)
        body = b"" if value is None else (value if isinstance(value, bytes) else pack.encode(value))
        self.writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\n\r\n"
                           % (method, path, self.host, self.port, len(body))).encode() + body)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("no response")
        status = int(message[0].split(" ")[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        try:
            decoded = pack.decode(message[2]) if message[2] else None
        except Exception:
            decoded = None
        return status, decoded

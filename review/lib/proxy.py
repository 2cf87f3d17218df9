"""A TCP proxy on loopback that refuses, resets or holds back connections."""
import asyncio


class Proxy:
    def __init__(self, to_port):
        self.to_port = to_port
        self.mode = "pass"  # pass, refuse (close new connections), hold (keep the bytes back)
        self.pairs = set()
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode, reset=False):
        self.mode = mode
        if mode == "hold":
            self.open.clear()
        else:
            self.open.set()
        if reset:
            for w in list(self.pairs):
                w.transport.abort()

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        await self.open.wait()
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, up_writer}
        try:
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        finally:
            self.pairs -= {writer, up_writer}

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

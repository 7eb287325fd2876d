"""A loopback proxy whose connections can be harmed from outside."""
import asyncio

import answers

BLOCK = 65536


class Link:
    """Passes connections on to a port.

    mode is one of pass, delay (each block by delay_s), refuse (new connections
    are reset), silent (what stands passes nothing more, new ones work), one_way
    (nothing comes back).
    """

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.target_address = "127.0.0.1"
        self.mode = "pass"
        self.delay_s = 0.0
        self.pairs = set()
        self.muted = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", self.port, reuse_address=True)

    def silence(self):
        """Connections that stand now pass nothing more."""
        self.muted |= self.pairs

    def reset(self):
        """Resets the connections that stand now."""
        for pair in list(self.pairs):
            for writer in pair:
                answers.reset(writer)

    async def on_connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection(self.target_address,
                                                        self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, forth)
        self.pairs.add(pair)
        ways = [asyncio.create_task(self.carry(reader, forth, pair, False)),
                asyncio.create_task(self.carry(back, writer, pair, True))]
        self.tasks.update(ways)
        await asyncio.wait(ways)
        self.tasks.difference_update(ways)
        self.pairs.discard(pair)
        self.muted.discard(pair)

    async def carry(self, reader, writer, pair, returns):
        try:
            while data := await reader.read(BLOCK):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                while pair in self.muted or (returns and
                                             self.mode == "one_way"):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            for one in pair:
                answers.reset(one)

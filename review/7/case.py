"""An endpoint answers an upload early, without a length, and is reset midway."""
import asyncio
import pathlib
import socket
import struct
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import world as w

PLAY_S = 60.0
CALLERS = 18          # so that every endpoint is needed
WORK_S = 0.02
BODY = b"v" * 360000  # the largest upload of the site
WHOLE = b"receipt " * 200
PART = WHOLE[:700]    # what has left the endpoint when it is reset
RESET_S = 0.002       # after that
PIECE = 20000         # bytes of a body that a client sends at a time
PAUSE_S = 0.001       # after each
FAULTY = 0.5          # of the endpoints: the share of garble
SHARE = 0.05          # of their answers: x of garble, unframed
FOR_S = 5.0           # its for_s, with a pause of EACH_S - FOR_S after it
EACH_S = 8.0
LIMIT_S = 2.0


class Vault(w.Endpoint):
    """Some of its answers come early and are broken off by a reset."""

    async def answer(self, method, target, name, headers, reader, writer):
        faulty = self.world.endpoints[:int(FAULTY * len(self.world.endpoints))]
        now = (time.monotonic() - self.world.begin) % EACH_S < FOR_S
        if not (w.TROUBLE and now and self in faulty
                and self.world.random.random() < SHARE):
            return await super().answer(method, target, name, headers, reader,
                                        writer)
        self.world.note(f"run {name} at {self.id}, answered early and reset "
                        f"after {len(PART)} of {len(WHOLE)} bytes")
        self.world.broken_off.add(name)
        writer.write((f"HTTP/1.1 200 OK\r\nX-Sapphirelane-Request-Id: {name}\r\n"
                      "X-Sapphirelane-Response-Signature: "
                      f"{self.id}.{name}\r\n\r\n").encode() + PART)
        await asyncio.sleep(RESET_S)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False


async def send_body(writer):
    try:
        for at in range(0, len(BODY), PIECE):
            writer.write(BODY[at:at + PIECE])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
    except OSError:
        pass              # The answer, or the lack of one, tells.


async def upload(world, daemon, seen):
    name = world.new_id()
    reader, writer = await asyncio.open_connection(*daemon.front)
    world.note(f"sent {name} POST /up/x")
    writer.write(world.head("POST", "/up/x", name, LIMIT_S,
                            f"Content-Length: {len(BODY)}\r\n"))
    sending = asyncio.create_task(send_body(writer))
    try:
        line, headers = await asyncio.wait_for(w.read_head(reader), 3.0)
        body = await asyncio.wait_for(w.read_body(reader, headers), 3.0)
    except (w.Broken, OSError, asyncio.TimeoutError) as error:
        world.note(f"cut {name}: {error}")
    else:
        status = int(line.split()[1])
        world.note(f"answered {name} {status}, {len(body)} bytes, complete")
        seen[name] = (status, body)
    sending.cancel()
    writer.close()


async def caller(world, daemon, until, seen):
    while time.monotonic() < until:
        try:
            await upload(world, daemon, seen)
        except OSError as error:
            world.note(f"no connection: {error}")


async def case(world):
    async def work(endpoint, name, target, body):
        await asyncio.sleep(WORK_S)
        return 200, WHOLE
    world.work = work
    world.broken_off = set()
    await world.start()
    seen = {}
    until = time.monotonic() + PLAY_S
    await asyncio.gather(*(caller(world, world.daemons[0], until, seen)
                           for _ in range(CALLERS)))
    wrong = [name for name, (status, body) in seen.items()
             if status == 200 and body != WHOLE]
    for name in wrong:
        world.note(f"a success that isn't whole: {name}")
    print(f"{len(seen)} complete answers, {len(world.broken_off)} broken off "
          f"by endpoints, {len(wrong)} of these given as whole successes")
    return w.BROKEN if wrong else w.HELD


w.Endpoint = Vault
w.run(case, w.World(HERE / "record.txt", {"v": (6, 2)}, {
    "up": {"prefix": "/up/", "kind": "upload", "timeout_s": 2,
           "target_latency_s": 0.8, "service": "v"}}, rate=0, burst=0))

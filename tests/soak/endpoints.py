"""Stand-ins for endpoints, which note every request that they run."""
import asyncio
import dataclasses
import hashlib
import time

import wire

BEAT_S = 0.5          # between two writes of an endpoint
DEADLY_S = 0.01       # for which it works on a request that ends it
SCRIPT_SHARE = 0.3    # of requests that a script answers
EARLY_SHARE = 0.9     # of those with a body that it may answer before that
LAPSE_BEATS = 3       # beats after which the entry of a silent one is removed


@dataclasses.dataclass
class Size:
    """What an endpoint can do."""
    slots: int = 2
    queue: int = 8            # requests that wait beyond the slots
    work_s: float = 0.03      # on average


@dataclasses.dataclass
class Run:
    """A request that an endpoint began to work on."""
    request: str
    at: float
    endpoint: str
    service: str
    method: str
    target: str
    body: bytes               # None: answered before it was read
    tenant: str
    left_ms: int
    key_seen: bool
    answer: tuple = None      # (status, body) that the endpoint gave


def receipt(request, endpoint):
    return hashlib.sha256(f"{request}/{endpoint}".encode()).hexdigest()[:16]


def body_of(request):
    """The body that answers a request; its size follows from the id."""
    size = 100 + int(request[:3], 16)
    return (request.encode() * (size // len(request) + 1))[:size]


class Endpoint:
    """One endpoint: slots, a queue, an entry in the store, and faults."""

    def __init__(self, world, name, service, zone, port, size):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port        # where it listens
        self.public = port      # what its entry says: a fault link before it
        self.slots = asyncio.Semaphore(size.slots)
        self.size = size
        self.waiting = 0
        self.state = "ready"
        self.left_at = None     # when the store took its leaving in
        self.alive = True
        self.fault = None       # None, errors, hang, reset, slow, lost, extra
        self.share = 1.0        # of requests that the fault meets
        self.script = None      # makes answers in place of the endpoint's own
        self.script_is_sound = False
        self.server = None
        self.writers = set()
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", self.port, reuse_address=True)
        self.beating = asyncio.create_task(self.beat())

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await wire.serve(reader, writer, self.handle, self.begin)
        finally:
            self.writers.discard(writer)

    async def beat(self):
        while self.alive:
            if not self.world.store.down:
                self.sequence += 1
                self.world.store.put("servers", self.name, self.entry())
            await asyncio.sleep(BEAT_S)

    def entry(self):
        return {"service": self.service, "zone": self.zone,
                "address": f"127.0.0.1:{self.public}", "version": "v1",
                "slots": self.size.slots, "state": self.state,
                "cold_remaining_s": 0, "sequence": self.sequence,
                "born": self.born}

    def drain(self):
        """Announces that it leaves; it goes on serving."""
        self.state = "draining"
        self.sequence += 1
        self.world.store.put("servers", self.name, self.entry())
        self.left_at = time.monotonic()

    async def crash(self):
        """Ends at once; its entry goes when its beats are missed."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(BEAT_S * LAPSE_BEATS)
        self.world.store.remove("servers", self.name)

    async def end_by_request(self):
        """Ends as a process does that crashes: nothing listens any more."""
        self.world.deadly_ends += 1
        self.world.harm_endpoint(self, 1e6)
        self.link.server.close()
        self.link.reset()
        await self.crash()
        await self.world.add_endpoint(self.service)

    async def leave(self):
        """Ends after its draining."""
        self.alive = False
        self.world.store.remove("servers", self.name)
        self.server.close()

    def not_run(self, status, request):
        return wire.Answer(status, {
            "X-Sapphirelane-Request-Not-Run": "1",
            "X-Sapphirelane-Request-Id": request,
            "X-Sapphirelane-Instance-Id": self.name}, b"")

    def script_answer(self, name, early):
        """What the script has for a request, before or after its body."""
        share = EARLY_SHARE if early else SCRIPT_SHARE
        if self.script is None or self.world.draw_script() >= share:
            return None
        good = self.good(name)
        answer = self.script(good.headers, good.body)
        return answer if answer.early == early else None

    async def begin(self, request):
        """An answer before the request's body is read, if there is one."""
        headers = request.headers
        name = headers.get("x-sapphirelane-request-id", "")
        expected = headers.get("x-sapphirelane-expected-instance", self.name)
        if request.method != "POST" or expected != self.name:
            return None
        answer = self.script_answer(name, early=True)
        if answer is not None:
            run = self.note(request, name, int(
                headers.get("x-sapphirelane-deadline-ms", "0")))
            run.body = None
            self.note_answer(run, answer)
        return answer

    def note_answer(self, run, answer):
        if isinstance(answer, wire.Answer):
            run.answer = (answer.status, answer.body)
        elif answer is not None and self.script_is_sound:
            run.answer = (200, body_of(run.request))

    async def handle(self, request, writer):
        headers = request.headers
        name = headers.get("x-sapphirelane-request-id", "")
        expected = headers.get("x-sapphirelane-expected-instance", self.name)
        if expected != self.name:
            return self.not_run(421, name)
        if self.waiting >= self.size.queue:
            return self.not_run(503, name)
        left = int(headers.get("x-sapphirelane-deadline-ms", "0"))
        until = time.monotonic() + left / 1000
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= until:
                return self.not_run(503, name)
            run = self.note(request, name, left)
            if self.alive and self.world.is_deadly(request.target):
                await asyncio.sleep(DEADLY_S)
                self.ending = asyncio.create_task(self.end_by_request())
                return None
            answer = await self.work(name, writer, until)
            self.note_answer(run, answer)
            return answer
        finally:
            self.slots.release()

    def note(self, request, name, left):
        headers = request.headers
        run = Run(
            name, time.monotonic(), self.name, self.service, request.method,
            request.target, request.body,
            headers.get("x-sapphirelane-tenant-id", ""), left,
            "x-sapphirelane-credential" in headers)
        self.world.runs.append(run)
        return run

    async def work(self, name, writer, until):
        met = self.fault and self.world.random.random() < self.share
        if met and self.fault == "hang":
            await asyncio.sleep(max(0, until - time.monotonic()))
            return wire.Answer(504, self.headers(name), b"")
        seconds = self.world.random.expovariate(1 / self.size.work_s)
        await asyncio.sleep(seconds * (6 if met and self.fault == "slow" else 1))
        if met and self.fault == "reset":
            writer.transport.abort()
            return None
        if met and self.fault == "lost":
            return None
        if met and self.fault == "errors":
            return wire.Answer(500, self.headers(name), b"no")
        if met and self.fault == "extra":
            asyncio.get_running_loop().call_later(0.004, self.again, name, writer)
        return self.script_answer(name, early=False) or self.good(name)

    def headers(self, name):
        return {"X-Sapphirelane-Request-Id": name,
                "X-Soak-Endpoint": self.name}

    def good(self, name):
        return wire.Answer(200, {
            **self.headers(name),
            "X-Sapphirelane-Response-Signature": receipt(name, self.name),
            "X-Sapphirelane-Server-Load":
                f"1,{self.waiting},{self.size.slots}"}, body_of(name))

    def again(self, name, writer):
        """A second answer to a request that has had its own."""
        answer = self.good(name)
        head = "".join(f"{k}: {v}\r\n" for k, v in answer.headers.items())
        writer.write((f"HTTP/1.1 200 OK\r\n{head}Content-Length: "
                      f"{len(answer.body)}\r\n\r\n").encode() + answer.body)

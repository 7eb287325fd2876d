"""Callers: their requests, and what they saw of each."""
import asyncio
import dataclasses
import random
import time

import wire

CONNECT_S = 1.0       # for a new connection
PATIENCE_S = 1.5      # that a patient caller waits beyond its own limit
SIZES = (200, 4000, 60000)    # of large bodies
SMALL = (20, 1800)
AHEAD = 4             # requests that a caller sends without an answer
PAUSE_S = 0.01        # at most, between pieces of a body
SLOW = 0.15           # share of uploads that come slowly
SLOW_SHARE = (0.2, 0.6)       # of the limit, that a slow upload takes


@dataclasses.dataclass
class Habits:
    """What a caller does in each of its requests."""
    patience_s: float = PATIENCE_S    # 0: leaves at its limit
    ahead: int = 1
    limits_s: tuple = (1.0, 2.0)
    home: object = None               # the only daemon that it calls
    route: str = ""                   # the only route
    sizes: tuple = SIZES              # of large bodies
    reuses: bool = True               # its connection


def habits_of(index):
    """Every third caller leaves at its limit, every seventh pipelines."""
    return Habits(patience_s=0.0 if index % 3 == 1 else PATIENCE_S,
                  ahead=AHEAD if index % 7 == 3 else 1)


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller and how it ended."""
    request: str
    route: str
    idempotent: bool
    tenant: str
    key: str
    method: str
    target: str
    limit_s: float
    body: bytes = b""
    sending: wire.Sending = dataclasses.field(default_factory=wire.Sending)
    daemon: str = ""
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0       # 0: no answer
    answer: object = None
    error: str = ""
    left: bool = False    # the caller closed its connection at its limit


class Caller:
    """One caller with a connection of its own."""

    def __init__(self, world, number, tenant, rate, habits):
        self.world = world
        self.random = random.Random(f"{world.seed} caller {number}")
        self.number = number
        self.tenant = tenant
        self.rate = rate      # requests a second
        self.habits = habits
        self.client = None
        self.daemon = None

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.rate))
            await self.send(self.draw())
        self.leave()

    def draw(self):
        """One request, or some idempotent ones to be sent without waiting."""
        routes = self.world.routes
        route = routes[self.habits.route or self.random.choice(list(routes))]
        count = 1
        if route.kind == "idempotent":
            count = self.random.randint(1, self.habits.ahead)
        limit_s = self.random.choice(self.habits.limits_s)
        return [self.draw_one(route, limit_s) for _ in range(count)]

    def draw_one(self, route, limit_s):
        attempt = Attempt(
            request=f"{self.random.getrandbits(64):016x}", route=route.name,
            idempotent=route.kind == "idempotent", tenant=self.tenant,
            key=self.random.choice(self.world.keys[self.tenant]),
            method="GET" if route.kind == "idempotent" else "POST",
            target=f"{route.prefix}{self.random.getrandbits(16):x}",
            limit_s=limit_s)
        if not attempt.idempotent:
            self.draw_body(attempt, route.upload)
        return attempt

    def draw_body(self, attempt, upload):
        size = max(SMALL[0], min(SMALL[1], int(
            self.random.lognormvariate(5.5, 0.6))))
        if upload:
            size = self.random.choice((size, *self.habits.sizes))
        attempt.body = self.random.randbytes(size)
        attempt.sending.chunked = self.random.random() < 0.7
        slow = upload and self.random.random() < SLOW
        if not slow and self.random.random() < 0.3:
            return
        attempt.sending.pieces = pieces = []
        while sum(pieces) < size:
            pieces.append(min(size - sum(pieces),
                              self.random.randint(1, max(600, size // 20))))
        most = PAUSE_S
        if slow:
            most = 2 * attempt.limit_s * self.random.uniform(
                *SLOW_SHARE) / len(pieces)
        attempt.sending.pauses = [self.random.uniform(0, most) for _ in pieces]

    async def send_deadly(self):
        """Sends the deadly request on a connection of its own."""
        self.leave()
        await self.send([Attempt(
            request=f"{self.random.getrandbits(64):016x}", route="read",
            idempotent=True, tenant=self.tenant,
            key=self.world.keys[self.tenant][-1], method="GET",
            target=self.world.deadly_target, limit_s=1.0)])

    async def send(self, attempts):
        """Sends requests one behind the other and reads their answers."""
        self.world.attempts += attempts
        exchanges = []
        try:
            await self.connect()
            for one in attempts:
                one.daemon = self.daemon.name
                one.sent = time.monotonic()
                exchanges.append(self.client.begin(self.message(one),
                                                   one.sending))
            for one, exchange in zip(attempts, exchanges):
                await self.read(one, exchange)
        except wire.Broken as error:
            self.give_up(attempts, str(error))
        except asyncio.TimeoutError:
            self.give_up(attempts, "no answer", not self.habits.patience_s)
        for exchange in exchanges:
            exchange.end()
        if not self.habits.reuses:
            self.leave()

    async def connect(self):
        if self.client is None:
            self.daemon = self.habits.home or \
                self.world.entry_for(self.number)
            self.client = await asyncio.wait_for(
                wire.Client.connect("127.0.0.1", self.daemon.front.port),
                CONNECT_S)

    async def read(self, attempt, exchange):
        last = attempt.sent + attempt.limit_s + self.habits.patience_s
        attempt.answer = await asyncio.wait_for(
            exchange.answer(), last - time.monotonic())
        attempt.ended = time.monotonic()
        attempt.status = attempt.answer.status
        if attempt.answer.closes:
            raise wire.Broken("the connection was closed")

    def give_up(self, attempts, error, left=False):
        """Notes those without an answer."""
        for one in attempts:
            if one.status == 0:
                one.ended = time.monotonic()
                one.error = error
                one.left = left and one.sent > 0
                one.sent = one.sent or one.ended
        self.leave()

    def message(self, attempt):
        return wire.Request(attempt.method, attempt.target, {
            "Host": self.world.host,
            "X-Sapphirelane-Request-Id": attempt.request,
            "X-Sapphirelane-Deadline-Ms": str(int(attempt.limit_s * 1000)),
            "X-Sapphirelane-Credential": attempt.key}, attempt.body)

    def leave(self):
        if self.client is not None:
            self.client.close()
        self.client = None
        self.number += 1      # the next connection may reach another daemon

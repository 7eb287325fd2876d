"""Callers: their requests, and what they saw of each."""
import asyncio
import dataclasses
import hashlib
import time

import wire

CONNECT_S = 1.0       # for a new connection
PATIENCE_S = 1.5      # that a caller waits beyond its own limit


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller and how it ended."""
    request: str
    route: str
    idempotent: bool
    tenant: str
    key: str
    daemon: str
    method: str
    target: str
    digest: str
    limit_s: float
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0       # 0: no answer
    answer: object = None
    error: str = ""


class Caller:
    """One caller with a connection of its own."""

    def __init__(self, world, number, tenant, rate):
        self.world = world
        self.number = number
        self.tenant = tenant
        self.rate = rate      # requests a second
        self.client = None
        self.daemon = None

    async def run(self, until):
        random = self.world.random
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(self.rate))
            attempt = self.draw()
            if attempt is not None:
                await self.send(attempt)

    def draw(self):
        random = self.world.random
        keys = self.world.keys[self.tenant]
        if not keys:
            return None
        route = random.choice(list(self.world.routes.values()))
        size = random.choice((200, 4000, 60000)) if route.upload else 0
        body = random.randbytes(size)
        attempt = Attempt(
            request=f"{random.getrandbits(64):016x}", route=route.name,
            idempotent=route.kind == "idempotent", tenant=self.tenant,
            key=random.choice(keys), daemon="",
            method="GET" if route.kind == "idempotent" else "POST",
            target=f"{route.prefix}{random.getrandbits(16):x}",
            digest=hashlib.sha256(body).hexdigest(),
            limit_s=random.choice((1.0, 2.0)))
        self.body = body
        return attempt

    async def send_deadly(self):
        """Sends the deadly request on a connection of its own."""
        self.leave()
        self.body = b""
        await self.send(Attempt(
            request=f"{self.world.random.getrandbits(64):016x}", route="read",
            idempotent=True, tenant=self.tenant,
            key=self.world.keys[self.tenant][-1], daemon="", method="GET",
            target=self.world.deadly_target,
            digest=hashlib.sha256(b"").hexdigest(), limit_s=1.0))

    async def send(self, attempt):
        self.world.attempts.append(attempt)
        try:
            if self.client is None:
                self.daemon = self.world.entry_for(self.number)
                self.client = await asyncio.wait_for(
                    wire.Client.connect("127.0.0.1", self.daemon.front.port),
                    CONNECT_S)
            attempt.daemon = self.daemon.name
            attempt.sent = time.monotonic()
            attempt.answer = await asyncio.wait_for(
                self.client.call(
                    attempt.method, attempt.target, self.headers(attempt),
                    self.body), attempt.limit_s + PATIENCE_S)
            attempt.status = attempt.answer.status
        except wire.Broken as error:
            attempt.error = str(error)
        except asyncio.TimeoutError:
            attempt.error = "no answer"
        attempt.ended = time.monotonic()
        attempt.sent = attempt.sent or attempt.ended
        if attempt.status == 0 or attempt.answer.closes:
            self.leave()

    def headers(self, attempt):
        return {"Host": self.world.host,
                "X-Sapphirelane-Request-Id": attempt.request,
                "X-Sapphirelane-Deadline-Ms": str(int(attempt.limit_s * 1000)),
                "X-Sapphirelane-Credential": attempt.key}

    def leave(self):
        if self.client is not None:
            self.client.close()
        self.client = None
        self.number += 1      # the next connection may reach another daemon

"""A fleet with its store, endpoints and callers on loopback."""
import asyncio
import dataclasses
import pathlib
import random
import time

import wire
from callers import Caller, Habits, habits_of
from daemons import Daemon
from endpoints import Endpoint, Size
from links import Link
from store import Store

PORTS = 400           # of one world
CROWD_SEEDS = 3       # one in so many seeds has a crowd of callers
LAG_S = 0.2           # of the soak's own loop, from which times prove nothing
SETTLE_S = 3.0


@dataclasses.dataclass
class Route:
    """A route of the configuration."""
    name: str
    prefix: str
    kind: str
    service: str
    upload: bool = False


class World:
    """Everything of one run; what is random follows from the seed."""

    def __init__(self, seed, folder, program, daemons, slot=0):
        self.seed = seed
        self.random = random.Random(seed)
        self.script_random = random.Random(f"{seed} scripts")
        self.folder = pathlib.Path(folder)
        self.program = program
        self.base = 20000 + PORTS * slot
        self.store_port = self.base + 3
        self.zones = ["dc-1", "dc-2", "dc-3"]
        self.host = "soak.example"
        self.store = Store()
        self.store.random = self.random
        self.runs = []
        self.attempts = []
        self.lags = []
        self.store_harms = []
        self.endpoint_harms = []     # (endpoint, from, to)
        self.deadly_target = ""      # ends the endpoints that get it
        self.deadly_times = None     # (from, to) in which it is sent
        self.deadly_ends = 0
        self.evacuations = []        # [data centre, from, to or None]
        self.rates = {"steady": (400, 400), "small": (30, 30),
                      "greedy": (15, 15)}
        self.services = {"scripts": 4, "cues": 5, "voice": 4}
        self.sizes = {}
        self.crowded = seed % CROWD_SEEDS == 1
        if self.crowded:
            self.rates["crowd"] = (1000, 1000)
            self.services["ledger"] = 3
            # So that many requests are under way when a daemon freezes.
            self.sizes["ledger"] = Size(slots=20, queue=40, work_s=0.3)
        self.keys = {name: [f"key-{name}-{i}" for i in range(3)]
                     for name in self.rates}
        self.withdrawn = {}          # key -> time
        self.routes = {}
        self.idle_routes = []
        self.allowed = {}            # route -> services of any version
        for name, kind, service in (
                ("read", "idempotent", "scripts"),
                ("approve", "non_idempotent", "cues"),
                ("upload", "upload", "voice"), ("list", "idempotent", "voice")):
            self.set_route(Route(name, f"/{name}/", kind, service,
                                 kind == "upload"))
        if self.crowded:
            self.set_route(Route("cue", "/cue/", "non_idempotent", "ledger"))
        self.version = 0
        self.endpoints = []
        self.daemons = [Daemon(self, i + 1) for i in range(daemons)]
        self.calm_at = 0.0
        self.end_at = 0.0

    # What the operator does.

    def set_route(self, route):
        self.routes[route.name] = route
        self.allowed.setdefault(route.name, set()).add(route.service)

    def add_idle_routes(self, count):
        """Adds routes that nobody calls."""
        first = len(self.idle_routes)
        self.idle_routes += [Route(f"more-{i}", f"/more/{i}/", "idempotent",
                                   "scripts")
                             for i in range(first, first + count)]

    def write_config(self):
        self.version += self.random.randint(1, 3)
        resources = [
            {"type": "routes", "metadata": {"name": one.name}, "spec": {
                "host": self.host, "prefix": one.prefix, "kind": one.kind,
                "timeout_s": 2, "target_latency_s": 0.5, "max_attempts": 2,
                "priority": 1, "service": one.service}}
            for one in [*self.routes.values(), *self.idle_routes]]
        resources += [{"type": "services", "metadata": {"name": name}, "spec": {
            "health_path": "/health", "max_connections": 300}}
            for name in self.services]
        resources += [{"type": "tenants", "metadata": {"name": name}, "spec": {
            "api_keys": [key for key in keys if key not in self.withdrawn],
            "priority": 1, "rate_per_s": self.rates[name][0],
            "burst": self.rates[name][1]}} for name, keys in self.keys.items()]
        resources.append({"type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1 << 20,
            "header_timeout_s": 3, "idle_timeout_s": 15}})
        self.store.put("op", "config", {"version": f"{self.version:08x}",
                                        "resources": resources})

    def withdraw_key(self):
        tenant = self.random.choice(list(self.keys))
        left = [key for key in self.keys[tenant] if key not in self.withdrawn]
        if len(left) > 1:
            self.withdrawn[left[0]] = time.monotonic()
            self.write_config()

    def evacuate(self, zone):
        """The order is confirmed as the store has written the row."""
        self.store.put("op", f"evacuate/{zone}", {})
        self.evacuations.append([zone, time.monotonic(), None])

    def restore(self, zone):
        # Noted before the removal, as a request may follow on it at once.
        for one in self.evacuations:
            if one[0] == zone and one[2] is None:
                one[2] = time.monotonic()
        self.store.remove("op", f"evacuate/{zone}")

    # Parts.

    def daemon(self, name):
        return next(one for one in self.daemons if one.name == name)

    def endpoint(self, name):
        return next(one for one in self.endpoints if one.name == name)

    def alive(self, service):
        return [one for one in self.endpoints if one.service == service and
                one.alive and one.state == "ready"]

    def entry_for(self, number):
        there = [one for one in self.daemons if one.misses < 2]
        chosen = there if 2 * len(there) >= len(self.daemons) else self.daemons
        return chosen[number % len(chosen)]

    def new_endpoint(self, *arguments):
        return Endpoint(*arguments)

    async def add_endpoint(self, service, port=None):
        number = len(self.endpoints)
        endpoint = self.new_endpoint(
            self, f"i-{number:04d}", service, self.zones[number % 3],
            port or self.base + 300 + number, self.sizes.get(service, Size()))
        self.endpoints.append(endpoint)
        await endpoint.start()
        endpoint.link = Link(self.base + 350 + number, endpoint.port)
        await endpoint.link.start()
        endpoint.public = endpoint.link.port
        return endpoint

    def draw_script(self):
        """From random numbers of its own, as endpoints draw at times that are
        the machine's."""
        return self.script_random.random()

    def is_deadly(self, target):
        return target == self.deadly_target

    # Times in which a bound doesn't hold.

    def harm_store(self, seconds):
        now = time.monotonic()
        self.store_harms.append((now, now + seconds + SETTLE_S))

    def harm_endpoint(self, endpoint, seconds):
        now = time.monotonic()
        self.endpoint_harms.append((endpoint.name, now, now + seconds))

    def store_harmed(self, begin, end):
        return any(a <= end and b >= begin for a, b in self.store_harms)

    def endpoint_harmed(self, name, begin, end):
        return any(one == name and a <= end and b >= begin
                   for one, a, b in self.endpoint_harms)

    def lagged(self, begin, end):
        return any(a <= end and b >= begin for a, b in self.lags)

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now - before > LAG_S:
                self.lags.append((before, now))

    # The run.

    async def start(self):
        server = await asyncio.start_server(
            lambda r, w: wire.serve(r, w, self.store.handle),
            "127.0.0.1", self.store_port, reuse_address=True)
        self.servers = [server]
        self.write_config()
        for service, count in self.services.items():
            for _ in range(count):
                await self.add_endpoint(service)
        seeds = [f"{one.address}:{self.base + 2}" for one in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.write_settings(seeds)
            await daemon.front.start()
            await daemon.store.start()
            daemon.start()
        self.tasks = [asyncio.create_task(one.watch()) for one in self.daemons]
        self.tasks.append(asyncio.create_task(self.watch_lag()))

    async def serve(self, schedule, seconds, calm, callers):
        """Callers and faults for a time, then a calm."""
        begin = time.monotonic()
        self.calm_at = begin + seconds + SETTLE_S
        self.end_at = self.calm_at + calm
        tenants = ["steady"] * 3 + ["small", "greedy"]
        work = [asyncio.create_task(
            Caller(self, i, tenants[i % len(tenants)], 6.0,
                   habits_of(i)).run(self.end_at)) for i in range(callers)]
        faults = asyncio.create_task(schedule.run(begin, seconds))
        await asyncio.gather(
            *work, faults, schedule.frozen_crowd(begin),
            schedule.evacuations(begin), schedule.odd_answers(begin, seconds),
            schedule.deadly_request(
                begin, Caller(self, callers, "steady", 0, Habits())))

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for task in self.tasks:
            task.cancel()

"""Faults drawn from the seed; they come in series and overlap."""
import asyncio
import random
import time

import answers
from callers import Caller, Habits
from world import Route

FAULTS_PER_S = 0.9    # faults begun a second, each lasting up to three
DEADLY_SEEDS = 3      # one in so many seeds has a deadly request
DEADLY_S = 5.0        # for which its caller returns
DEADLY_PAUSE_S = 0.4  # until it does
FREEZE_S = 2.4        # longer than the limit of the crowd
FREEZE_TIMES = (0.5, 3.4, 6.3)
EVACUATING_SEEDS = 4  # one in so many seeds has evacuations
EVACUATED_S = (6.0, 6.5)      # longer than the bound of the promise
EVACUATIONS_AT = (0.5, 1.5)   # of the first
ODD_SEEDS = 2         # one in so many seeds has broken and unusual answers
ODD_PER_S = 1.5       # spells of them begun a second
STORE_SHARE = 0.25    # of the spells that are the store's
UPLOADERS = 6         # callers of large bodies, which early answers meet
UPLOAD_RATE = 8.0     # requests a second of each
UPLOAD_SIZES = (360000, 360000, 360000)
CROWD = 60
CROWD_RATE = 3.0      # requests a second of each caller


class Schedule:
    """Draws faults and brings them about, with a log of what was done."""

    def __init__(self, world):
        self.world = world
        # Of its own, as callers draw at times that are the machine's.
        self.random = random.Random(world.seed)
        self.log = []
        self.begin = 0.0

    def note(self, text):
        self.log.append(f"{time.monotonic() - self.begin:6.2f} s  {text}")

    async def run(self, begin, seconds):
        self.begin = begin
        kinds = [self.daemon_signal, self.daemon_signal, self.store_link,
                 self.store_fault, self.endpoint_fault, self.endpoint_fault,
                 self.endpoint_link, self.endpoint_end, self.config,
                 self.front_link]
        times = sorted(self.random.uniform(0.5, seconds)
                       for _ in range(int(seconds * FAULTS_PER_S)))
        running = []
        for at in times:
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            kind = self.random.choice(kinds)
            running.append(asyncio.create_task(kind(
                self.random.uniform(0.3, min(3.0, seconds - at + 0.4)))))
        if running:
            await asyncio.gather(*running)

    async def deadly_request(self, begin, caller):
        """A request that ends its endpoints returns to one daemon after the
        other. Draws nothing, so that a seed's other faults stay the same."""
        if self.world.seed % DEADLY_SEEDS != 0:
            return
        await asyncio.sleep(max(0, begin + 1.0 - time.monotonic()))
        self.note(f"a deadly request, {DEADLY_S:.1f} s")
        start = time.monotonic()
        self.world.deadly_target = "/read/deadly"
        self.world.deadly_times = (start, start + DEADLY_S)
        while time.monotonic() < start + DEADLY_S:
            await caller.send_deadly()
            await asyncio.sleep(DEADLY_PAUSE_S)
        caller.leave()

    async def frozen_crowd(self, begin):
        """Callers of one daemon leave at their limits while it is frozen.
        Draws nothing from the other faults."""
        if not self.world.crowded:
            return
        daemon = random.Random(f"{self.world.seed} frozen").choice(
            self.world.daemons)
        habits = Habits(patience_s=0.0, home=daemon, route="cue",
                        limits_s=(1.0,), reuses=False)
        until = begin + FREEZE_TIMES[-1] + FREEZE_S + 1.0
        crowd = [asyncio.create_task(
            Caller(self.world, 1000 + i, "crowd", CROWD_RATE, habits).run(
                until)) for i in range(CROWD)]
        for at in FREEZE_TIMES:
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            self.note(f"a crowd of {daemon.name}, frozen {FREEZE_S} s")
            await daemon.pause(FREEZE_S)
        await asyncio.gather(*crowd)

    async def evacuations(self, begin):
        """One data centre is evacuated for a time, another one is meanwhile
        and restored at once. Draws from random numbers of its own, so that a
        seed's other faults stay the same."""
        if self.world.seed % EVACUATING_SEEDS != 2:
            return
        draw = random.Random(f"{self.world.seed} evacuations")
        zone, other = draw.sample(self.world.zones, 2)
        start = begin + draw.uniform(*EVACUATIONS_AT)
        lasts = draw.uniform(*EVACUATED_S)
        pause = draw.uniform(0.2, 2.0)
        short = draw.choice((0.0, 0.3))
        await self.operate(start, "evacuate", zone)
        await self.operate(start + pause, "evacuate", other)
        await self.operate(start + pause + short, "restore", other)
        await self.operate(start + lasts, "restore", zone)

    async def odd_answers(self, begin, seconds):
        """Endpoints and the store send answers that are broken, or unusual but
        sound. Draws from random numbers of its own."""
        if self.world.seed % ODD_SEEDS != 1:
            return
        draw = random.Random(f"{self.world.seed} odd answers")
        habits = Habits(route="upload", sizes=UPLOAD_SIZES)
        spells = [asyncio.create_task(
            Caller(self.world, 2000 + i, "steady", UPLOAD_RATE, habits).run(
                begin + seconds)) for i in range(UPLOADERS)]
        for at in sorted(draw.uniform(0.5, seconds)
                         for _ in range(int(seconds * ODD_PER_S))):
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            lasts = draw.uniform(0.3, min(2.0, seconds - at + 0.4))
            if draw.random() < STORE_SHARE:
                spell = self.odd_store(draw, lasts)
            else:
                spell = self.odd_endpoint(draw, lasts)
            spells.append(asyncio.create_task(spell))
        await asyncio.gather(*spells)

    async def odd_endpoint(self, draw, seconds):
        """Draws a kind of answer, early ones most often, and an endpoint."""
        kinds = draw.choice((answers.EARLY, answers.EARLY,
                             answers.EARLY, answers.BROKEN_STATUS,
                             answers.BROKEN_FIELD, answers.HIDDEN_FRAMING,
                             answers.BROKEN_FRAMING, answers.USUAL_STATUS,
                             answers.SOUND_EARLY))
        name, script = draw.choice(list(kinds.items()))
        there = self.world.alive("voice" if "early" in name
                                 else draw.choice(("scripts", "cues")))
        if len(there) < 3:
            return
        endpoint = draw.choice(there)
        endpoint.script_is_sound = kinds in (answers.USUAL_STATUS,
                                             answers.SOUND_EARLY)
        endpoint.script = script
        self.note(f"answers of {endpoint.name}: {name}, {seconds:.1f} s")
        self.world.harm_endpoint(endpoint, seconds + 3.0)
        await asyncio.sleep(seconds)
        endpoint.script = None

    async def odd_store(self, draw, seconds):
        name, script = draw.choice(list(answers.BROKEN.items()))
        self.note(f"answers of the store: {name}, {seconds:.1f} s")
        self.world.harm_store(seconds)
        self.world.store.script = script
        await asyncio.sleep(seconds)
        self.world.store.script = None

    async def operate(self, at, order, zone):
        """Gives an order, again until the store takes it."""
        await asyncio.sleep(max(0, at - time.monotonic()))
        while self.world.store.down:
            await asyncio.sleep(0.1)
        self.note(f"{order} {zone}")
        getattr(self.world, order)(zone)

    def some_daemons(self):
        most = max(1, len(self.world.daemons) // 2)
        return self.random.sample(self.world.daemons,
                                  self.random.randint(1, most))

    async def daemon_signal(self, seconds):
        how = self.random.choice(("kill", "stop", "pause", "hup", "herd"))
        daemons = self.world.daemons if how == "herd" else self.some_daemons()
        self.note(f"{how} {[one.name for one in daemons]} {seconds:.1f} s")
        if how in ("kill", "herd"):
            await asyncio.gather(*(one.kill() for one in daemons))
        elif how == "stop":
            for one in daemons:
                await one.stop_planned()
        elif how == "pause":
            await asyncio.gather(*(one.pause(seconds) for one in daemons))
        else:
            for one in daemons:
                one.hang_up()

    async def store_link(self, seconds):
        mode = self.random.choice(("refuse", "one_way", "delay", "silent"))
        daemons = self.some_daemons()
        self.note(f"store link {mode} {[one.name for one in daemons]} "
                  f"{seconds:.1f} s")
        for one in daemons:
            one.harm(seconds + 3.0)
            await self.harm_link(one.store, mode, seconds)

    async def front_link(self, seconds):
        daemon = self.random.choice(self.world.daemons)
        self.note(f"callers of {daemon.name} are reset")
        daemon.harm(0.5)
        daemon.front.reset()

    async def harm_link(self, link, mode, seconds):
        if mode == "silent":
            link.silence()
            return
        link.mode = mode
        link.delay_s = 0.2
        asyncio.get_running_loop().call_later(
            seconds, lambda: setattr(link, "mode", "pass"))

    async def store_fault(self, seconds):
        store = self.world.store
        how = self.random.choice(("down", "slow", "lost", "forget"))
        self.note(f"store {how} {seconds:.1f} s")
        if how == "forget":
            store.forget_history()
            return
        self.world.harm_store(seconds)
        if how == "down":
            store.down = True
        elif how == "slow":
            store.slow_s = 0.3
        else:
            store.lose_answers = 0.5
        await asyncio.sleep(seconds)
        store.down, store.slow_s, store.lose_answers = False, 0.0, 0.0

    def draw_endpoint(self):
        service = self.random.choice(("scripts", "cues", "voice"))
        there = self.world.alive(service)
        return self.random.choice(there) if len(there) > 2 else None

    async def endpoint_fault(self, seconds):
        endpoint = self.draw_endpoint()
        if endpoint is None:
            return
        endpoint.fault = self.random.choice(
            ("errors", "hang", "reset", "slow", "lost", "extra"))
        endpoint.share = self.random.choice((0.3, 0.9))
        self.note(f"{endpoint.name} {endpoint.fault} {endpoint.share} "
                  f"{seconds:.1f} s")
        self.world.harm_endpoint(endpoint, seconds + 3.0)
        await asyncio.sleep(seconds)
        endpoint.fault = None

    async def endpoint_link(self, seconds):
        endpoint = self.draw_endpoint()
        if endpoint is None:
            return
        mode = self.random.choice(("refuse", "one_way", "delay", "silent"))
        self.note(f"link of {endpoint.name} {mode} {seconds:.1f} s")
        # A connection that has gone silent stays so.
        lasts = 1e6 if mode == "silent" else seconds + 3.0
        self.world.harm_endpoint(endpoint, lasts)
        await self.harm_link(endpoint.link, mode, seconds)

    async def endpoint_end(self, seconds):
        endpoint = self.draw_endpoint()
        if endpoint is None:
            return
        how = self.random.choice(("drain", "crash", "reuse", "join"))
        self.note(f"{endpoint.name} {how}")
        if how == "join":
            await self.world.add_endpoint(endpoint.service)
            return
        if how == "drain":
            endpoint.drain()
            await asyncio.sleep(3.5)
            self.world.harm_endpoint(endpoint, 1e6)
            await endpoint.leave()
        else:
            self.world.harm_endpoint(endpoint, 1e6)
            await endpoint.crash()
        if how == "reuse":
            other = "cues" if endpoint.service == "scripts" else "scripts"
            await asyncio.sleep(0.5)
            await self.world.add_endpoint(other, endpoint.port)
        else:
            await self.world.add_endpoint(endpoint.service)

    async def config(self, seconds):
        how = self.random.choice(("withdraw", "move", "storm", "many"))
        self.note(f"configuration {how}")
        world = self.world
        if how == "withdraw":
            world.withdraw_key()
        elif how == "move":
            route = world.routes["list"]
            world.set_route(Route(
                "list", route.prefix, route.kind,
                "scripts" if route.service == "voice" else "voice"))
            world.write_config()
        elif how == "storm":
            for _ in range(5):
                world.write_config()
                await asyncio.sleep(0.2)
        else:
            world.add_idle_routes(200)
            world.write_config()

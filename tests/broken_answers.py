#!/usr/bin/python3
"""Plays broken and unusual answers to a real daemon, over sockets.

    tests/broken_answers.py DAEMON [WORD]

DAEMON is the program; with WORD only the checks whose names hold it are played.
Endpoints and the store are stand-ins. A broken answer must reach no caller and
change nothing in a daemon; a sound one is passed on whole.
"""
import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent / "soak"))

import answers        # noqa: E402
import wire           # noqa: E402
import world as w     # noqa: E402
from endpoints import Endpoint, body_of   # noqa: E402
from store import Store   # noqa: E402

SEED = 2
SLOT = 12             # ports apart from those of a soak beside it
START_S = 20.0
LIMIT_S = 2.0
EARLY_TURNS = 100     # of each of the callers
EARLY_CALLERS = 8
BROKEN_OFF_CALLS = 5  # at a time
UPLOAD = 360000
PIECE = 1000
STORE_WAIT_S = 1.0    # in which a daemon reads the store several times
STORE_LIMIT_S = 6.0   # until it has a new configuration, after failures too
CHANGED_KEY = "key-steady-0"


# The store's calls name 200 as their only status of success.
STORE_SOUND = {name: maker for name, maker in answers.SOUND.items()
               if name != "status 299"}
# Those that differ to a client library; each takes a second and more.
STORE_STATUS = {name: answers.BROKEN_STATUS[f"status {name}"] for name in (
    "HTTP/1.1 000 OK", "HTTP/2.0 200 OK")}
STORE_FIELD = {str(line): answers.BROKEN_FIELD[f"field {line!r}"] for line in (
    b"X Trouble: 1", b"X-Trouble : 1", b"X-Tro\x01uble: 1", b": 1",
    b"X-Trouble: a\x01b")}


@dataclasses.dataclass
class Outcome:
    """What a caller saw; status 0: no whole answer."""
    status: int
    headers: dict
    body: bytes
    request: str


class ScriptedEndpoint(Endpoint):
    """Answers as the world's script says."""

    async def begin(self, request):
        script = self.world.script
        if script is None or not request.target.startswith("/upload/"):
            return None
        raw = self.planned(request)
        return raw if raw is not None and raw.early else None

    def planned(self, request):
        name = request.headers.get("x-sapphirelane-request-id", "")
        if self.world.script is None or name in self.world.scripted:
            return None
        self.world.scripted[name] = self.name
        return self.world.script(self.fields(name), body_of(name))

    def fields(self, name):
        answer = self.good(name)
        return {key: value for key, value in answer.headers.items()
                if key != "X-Sapphirelane-Server-Load"}

    async def work(self, name, writer, until):
        request = next(run for run in reversed(self.world.runs)
                       if run.request == name)
        raw = None
        if request.target.startswith(("/read/", "/approve/")):
            raw = self.planned(wire.Request(
                request.method, request.target,
                {"x-sapphirelane-request-id": name}, b""))
        return raw if raw is not None else self.good(name)


class ScriptedStore(Store):
    """Sends its own answers as a script says."""
    own_script = None

    def answer(self, status, body):
        sound = super().answer(status, body)
        if self.own_script is None or status != 200:
            return sound
        return self.own_script(sound.headers, sound.body)


class ScriptedWorld(w.World):
    """One daemon, and endpoints that follow a script."""

    def __init__(self, folder, program):
        super().__init__(SEED, folder, program, 1, SLOT)
        self.store = ScriptedStore()
        self.store.random = self.random
        self.script = None      # makes an answer; None: endpoints are sound
        self.scripted = {}      # request -> endpoint that followed the script
        self.draw = random.Random(SEED)

    def new_endpoint(self, *arguments):
        return ScriptedEndpoint(*arguments)

    async def call(self, route, body=b"", pieces=False, key="key-steady-2"):
        name = f"{self.draw.getrandbits(64):016x}"
        daemon = self.daemons[0]
        client = await wire.Client.connect("127.0.0.1", daemon.front.port)
        request = wire.Request(
            "POST" if body else "GET", f"/{route}/x", {
                "Host": self.host, "X-Sapphirelane-Request-Id": name,
                "X-Sapphirelane-Deadline-Ms": str(int(LIMIT_S * 1000)),
                "X-Sapphirelane-Credential": key}, body)
        sending = wire.Sending()
        if pieces:
            sending.pieces = [PIECE] * (len(body) // PIECE)
            sending.pauses = [0] * len(sending.pieces)
        exchange = client.begin(request, sending)
        try:
            answer = await asyncio.wait_for(exchange.answer(), LIMIT_S + 2)
            return Outcome(answer.status, answer.headers, answer.body, name)
        except (wire.Broken, OSError, asyncio.TimeoutError):
            return Outcome(0, {}, b"", name)
        finally:
            exchange.end()
            client.close()

    async def await_ready(self):
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            try:
                if (await self.call("read")).status == 200:
                    return
            except wire.Broken:
                pass
            await asyncio.sleep(0.1)
        raise SystemExit("the daemon does not serve")

    def runs_of(self, outcome):
        return [run for run in self.runs if run.request == outcome.request]


class Checks:
    """The checks; each returns what is wrong, one text an item."""

    def __init__(self, world):
        self.world = world

    def is_whole(self, outcome):
        return outcome.body == body_of(outcome.request)

    def check_given(self, name, outcome):
        """A success is sound: whole, and without a line of the broken one."""
        trouble = [key for key in outcome.headers if "rouble" in key.lower()]
        own = outcome.headers.get("x-soak-endpoint")
        bad = self.world.scripted.get(outcome.request)
        if 200 <= outcome.status < 300 and not self.is_whole(outcome):
            yield f"{name}: {len(outcome.body)} bytes as a whole answer"
        if trouble:
            yield f"{name}: passed on {trouble}"
        if own is not None and own == bad:
            yield f"{name}: the broken answer as a {outcome.status}"
        if outcome.status and not 200 <= outcome.status <= 599:
            yield f"{name}: status {outcome.status}"

    async def broken(self, makers):
        """May be repeated: another endpoint answers. May not: it ends."""
        for name, maker in makers.items():
            self.world.script = maker
            outcome = await self.world.call("read")
            for fault in self.check_given(name, outcome):
                yield fault
            if outcome.status != 200 or \
                    len(self.world.runs_of(outcome)) != 2:
                yield (f"{name}: {outcome.status} after "
                       f"{len(self.world.runs_of(outcome))} runs of a request "
                       "that may be repeated")
            outcome = await self.world.call("approve", b"approve")
            for fault in self.check_given(name, outcome):
                yield fault
            if outcome.status not in (0, 502, 504) or \
                    len(self.world.runs_of(outcome)) != 1:
                yield (f"{name}: {outcome.status} after "
                       f"{len(self.world.runs_of(outcome))} runs of a request "
                       "that may run once")
            self.world.script = None
            outcome = await self.world.call("read")
            if outcome.status != 200 or not self.is_whole(outcome):
                yield f"{name}: {outcome.status} to the request that follows"

    async def broken_off(self, makers):
        """What has left for a caller already can't be had elsewhere."""
        for name, maker in makers.items():
            for route, body in (("read", b""), ("approve", b"approve")):
                self.world.script = maker
                outcomes = await asyncio.gather(*(
                    self.world.call(route, body)
                    for _ in range(BROKEN_OFF_CALLS)))
                self.world.script = None
                for outcome in outcomes:
                    for fault in self.check_given(name, outcome):
                        yield fault
                    runs = len(self.world.runs_of(outcome))
                    if runs > (2 if route == "read" else 1):
                        yield f"{name}, {route}: {runs} runs"
                unplayed = [one for one in outcomes
                            if one.request not in self.world.scripted]
                if unplayed:
                    yield f"{name}, {route}: {len(unplayed)} weren't reset"
            outcome = await self.world.call("read")
            if outcome.status != 200 or not self.is_whole(outcome):
                yield f"{name}: {outcome.status} to the request that follows"

    async def sound(self, makers, route):
        for name, maker in makers.items():
            self.world.script = maker
            body = b"u" * UPLOAD if route == "upload" else b""
            outcome = await self.world.call(route, body, bool(body))
            if not 200 <= outcome.status < 300 or not self.is_whole(outcome) \
                    or self.world.scripted.get(outcome.request) != \
                    outcome.headers.get("x-soak-endpoint"):
                yield f"{name}: {outcome.status}, {len(outcome.body)} bytes"
            self.world.script = None

    async def store_broken(self, makers):
        """A daemon takes nothing from broken answers of its store, here of
        what isn't so, and hears the sound ones that follow."""
        for name, maker in makers.items():
            self.world.store.script = maker
            await asyncio.sleep(STORE_WAIT_S)
            status = (await self.call_with_key()).status
            if status != 200:
                yield f"{name}: was taken for an answer, {status}"
        self.world.store.script = None
        await self.change_key()
        if not await self.key_is_refused():
            yield "the daemon does not recover"
        await self.restore_key()

    async def store_sound(self, makers):
        for name, maker in makers.items():
            self.world.store.own_script = maker
            await self.change_key()
            if not await self.key_is_refused():
                yield f"{name}: was not taken for an answer"
            self.world.store.own_script = None
            await self.restore_key()

    async def call_with_key(self):
        return await self.world.call("read", key=CHANGED_KEY)

    async def change_key(self):
        self.world.withdrawn[CHANGED_KEY] = time.monotonic()
        self.world.write_config()

    async def restore_key(self):
        del self.world.withdrawn[CHANGED_KEY]
        self.world.write_config()
        await self.await_status(200)

    async def key_is_refused(self):
        return await self.await_status(401)

    async def await_status(self, status):
        end = time.monotonic() + STORE_LIMIT_S
        while time.monotonic() < end:
            if (await self.call_with_key()).status == status:
                return True
            await asyncio.sleep(0.05)
        return False

    async def early(self, maker):
        """An early answer is reset while its upload is written."""
        self.world.script = maker
        outcomes = []

        async def upload():
            for _ in range(EARLY_TURNS):
                outcomes.append(await self.world.call(
                    "upload", b"u" * UPLOAD, True))
        await asyncio.gather(*(upload() for _ in range(EARLY_CALLERS)))
        self.world.script = None
        wrong = [one for one in outcomes if 200 <= one.status < 300
                 and not self.is_whole(one)]
        print(f"    {len(self.world.scripted)} answers reset, {len(wrong)} "
              "of them given as whole ones", flush=True)
        if wrong:
            yield f"{len(wrong)} parts of answers were given as whole ones"
        if not self.world.scripted:
            yield "no answer was reset"


async def play(program, word):
    with tempfile.TemporaryDirectory(prefix="broken-answers-") as folder:
        world = ScriptedWorld(folder, program)
        checks = Checks(world)
        groups = {
            "sound": lambda: checks.sound(answers.SOUND, "read"),
            "sound early": lambda: checks.sound(answers.SOUND_EARLY, "upload"),
            "status": lambda: checks.broken(answers.BROKEN_STATUS),
            "field": lambda: checks.broken(answers.BROKEN_FIELD),
            "hidden framing": lambda: checks.broken(answers.HIDDEN_FRAMING),
            "framing": lambda: checks.broken(answers.BROKEN_FRAMING),
            "broken off": lambda: checks.broken_off(answers.BROKEN_OFF),
            "early": lambda: checks.early(answers.EARLY["early, reset"]),
            "store, sound": lambda: checks.store_sound(STORE_SOUND),
            "store, status": lambda: checks.store_broken(STORE_STATUS),
            "store, field": lambda: checks.store_broken(STORE_FIELD),
            "store, hidden framing": lambda: checks.store_broken(
                answers.HIDDEN_FRAMING),
            "store, framing": lambda: checks.store_broken(
                answers.BROKEN_FRAMING),
        }
        failed = 0
        try:
            await world.start()
            await world.await_ready()
            for name, group in groups.items():
                if word not in name:
                    continue
                world.scripted.clear()
                faults = [fault async for fault in group()]
                failed += bool(faults)
                print(f"{name}: {'FAILED' if faults else 'passed'}",
                      *faults, sep="\n    ", flush=True)
        finally:
            world.close()
        return failed


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(play(
        sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "")) else 0)

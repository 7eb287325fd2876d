"""The daemons under test: real processes, their links and their signals."""
import asyncio
import json
import signal
import subprocess
import time

import wire
from links import Link

GRACE_S = 6.0         # between SIGTERM and SIGKILL
RESTART_S = 0.4       # until a process that ended is started again
MOST_MEMORY_KB = 160 * 1024   # the smallest hosts of the sites


class Daemon:
    """One entry daemon and the links to its callers and its store."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"entry-{number}"
        self.zone = world.zones[number % len(world.zones)]
        self.address = f"127.0.1.{number}"
        base = world.base
        self.front = Link(base + 100 + number, base)
        self.front.target_address = self.address
        self.store = Link(base + 200 + number, world.store_port)
        self.ready_port = base + 1
        self.misses = 0
        self.child = None
        self.seeds = []
        self.stopping = False
        self.harms = []        # (from, to) in which it is not in touch
        self.terms = []        # times of SIGTERM
        self.faults = []       # ends that nobody asked for
        self.settings = world.folder / f"{self.name}.yaml"
        self.written = ""

    def write_settings(self, seeds):
        self.seeds = seeds
        terms = {"grace_s": GRACE_S, "retry_budget_ratio": 0.2,
                 "budget_slack": 56, "budget_window_s": 10}
        text = (
            f"host: {self.name}\ndata_centre: {self.zone}\n"
            f"listen:\n  callers: {self.address}:{self.world.base}\n"
            f"  operators: {self.address}:{self.ready_port}\n"
            f"  peers: {self.world.base + 2}\n"
            f"platform:\n  source: platform\n"
            f"  address: 127.0.0.1:{self.store.port}\n"
            f"  terms: '{json.dumps(terms)}'\n  timeout_ms: 600\n"
            f"seeds: {json.dumps(seeds)}\nseeds_use_peer_port: true\n"
            f"new_fleet: {json.dumps(self.child is None)}\n"
            "fleet_secret: secret-of-the-soak-fleet\n"
            f"operator_digest: \"{'0' * 64}\"\n"
            "limits:\n  connect_timeout_ms: 250\n  proven_ms: 6000\n"
            "policies:\n  balancer: expected-cost\n  ejector: spells\n"
            "  retry: fixed-attempts\n  dialect: platform\n"
            "  pool: 8\n  ahead: 4\n")
        # To write a file again holds the soak up while the disk is busy.
        if text != self.written:
            self.settings.write_text(text)
            self.written = text

    def start(self):
        self.write_settings(self.seeds)
        log = open(self.world.folder / f"{self.name}.log", "a")
        self.child = subprocess.Popen(
            [self.world.program, "--settings", self.settings],
            stdout=log, stderr=log)
        self.harm(3.0)

    def harm(self, seconds):
        now = time.monotonic()
        self.harms.append((now, now + seconds))

    def harmed(self, begin, end):
        return any(a <= end and b >= begin for a, b in self.harms)

    async def kill(self):
        """SIGKILL, and a start a little later."""
        if self.child is None or self.stopping:
            return
        self.harm(RESTART_S + 3.0)
        child, self.child = self.child, None
        child.kill()
        await self.reap(child)
        await asyncio.sleep(RESTART_S)
        self.start()

    async def stop_planned(self, again=True):
        """SIGTERM, SIGKILL after the grace, and a start a little later."""
        if self.child is None or self.stopping:
            return
        self.stopping = True
        self.terms.append(time.monotonic())
        self.harm(GRACE_S + 3.0)
        child = self.child
        child.send_signal(signal.SIGTERM)
        last = time.monotonic() + GRACE_S
        while child.poll() is None and time.monotonic() < last:
            await asyncio.sleep(0.05)
        if child.poll() is None:
            self.faults.append("did not stop within its grace")
            child.kill()
        elif child.returncode != 0:
            self.faults.append(f"planned stop ended with {child.returncode}")
        await self.reap(child)
        self.child = None
        self.seeds = []
        self.stopping = False
        if again:
            await asyncio.sleep(RESTART_S)
            self.start()

    async def pause(self, seconds):
        if self.child is None or self.stopping:
            return
        child = self.child
        self.harm(seconds + 3.0)
        child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        child.send_signal(signal.SIGCONT)

    def hang_up(self):
        if self.child is not None:
            self.child.send_signal(signal.SIGHUP)

    async def reap(self, child):
        while child.poll() is None:
            await asyncio.sleep(0.02)

    def check(self):
        """Notes an end that nobody asked for, and memory beyond the limit."""
        if self.child is None or self.stopping:
            return
        if self.child.poll() is not None:
            self.faults.append(f"ended by itself with {self.child.returncode}")
            self.start()
            return
        try:
            with open(f"/proc/{self.child.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:") and \
                            int(line.split()[1]) > MOST_MEMORY_KB:
                        self.faults.append(f"memory {line.split()[1]} KB")
        except OSError:
            pass               # It ended meanwhile; the next check sees it.

    async def watch(self):
        """What the balancer does: two misses in a row take the daemon out."""
        while True:
            good = False
            try:
                client = await asyncio.wait_for(
                    wire.Client.connect(self.address, self.ready_port), 1.0)
                answer = await asyncio.wait_for(
                    client.call("GET", "/readyz", {"Host": "x"}), 1.0)
                good = answer.status == 200
                client.close()
            except (wire.Broken, asyncio.TimeoutError):
                pass
            self.misses = 0 if good else self.misses + 1
            self.check()
            await asyncio.sleep(1.0)

    def end(self):
        if self.child is not None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
            self.child = None

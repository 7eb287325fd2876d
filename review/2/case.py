"""A few answers of an endpoint are spoiled: behind the last chunk stand wrong
bytes in place of the answer's end.

TROUBLE=0 plays the same without spoiled answers.
"""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import fleet   # noqa: E402
import httpio  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 80.0
DAEMONS = 2
CLIENTS = 10            # of each daemon
ENDPOINTS = 6
SPOILED_ENDPOINTS = 2   # garble: share 0.35 of the site's list
SPOILED_SHARE = 0.02    # garble: x of the site's list
CYCLE_S, SPOIL_S = 12.0, 5.5    # garble: for_s of the site's list
JUNK_BYTES = 70000
LIMIT_S = 2.0
WORK_S = 0.2
PAUSE_S = 0.1           # of a client between two requests
RESTART_S = 0.5
LEAST_ENDS = 3          # of each of two machines, by the rule Fault
MOST_LOST = 3           # at a machine, by the rule LOST


class SpoilingEndpoint(fleet.Endpoint):
    """Sends its answers in chunks; a few end with wrong bytes."""

    def __init__(self, *arguments, spoils, **options):
        super().__init__(*arguments, **options)
        self.spoils = spoils
        self.answers = 0
        self.spoiled = 0

    def good(self, request, body=None):
        text = request.encode() * 40
        lines = [f"{name}: {value}" for name, value in self.headers(request)]
        lines.append(f"X-Sapphirelane-Response-Signature: "
                     f"{self.name}.{request}")
        lines.append("Transfer-Encoding: chunked")
        head = ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()
        answer = head + f"{len(text):x}\r\n".encode() + text + b"\r\n0\r\n"
        if not self.is_due():
            return answer + b"\r\n"
        self.spoiled += 1
        self.record.note(f"spoiled  {request} by {self.name}")
        return answer + b"x:" + b"z" * JUNK_BYTES + b"\r\n\r\n"

    def is_due(self):
        begin = self.record.traffic_at
        if not TROUBLE or not self.spoils or begin is None or \
                (time.monotonic() - begin) % CYCLE_S >= SPOIL_S:
            return False
        self.answers += 1
        return int(self.answers * SPOILED_SHARE) > \
            int((self.answers - 1) * SPOILED_SHARE)


class Machine:
    """Restarts its daemon when that has ended, as the platform does."""

    def __init__(self, daemon, record):
        self.daemon = daemon
        self.record = record
        self.ends = []          # exit codes

    async def watch(self):
        while True:
            code = self.daemon.child.poll()
            if code is not None:
                self.ends.append(code)
                self.record.note(f"{self.daemon.name} ended by itself with "
                                 f"{code}")
                await asyncio.sleep(RESTART_S)
                self.daemon.start()
            await asyncio.sleep(0.02)


class Client:
    """Sends one request after the other on a kept connection."""

    def __init__(self, number, daemon, record, results):
        self.number = number
        self.daemon = daemon
        self.record = record
        self.results = results   # request id -> (status or None, kept)
        self.writer = None

    async def run(self, until):
        count = 0
        while time.monotonic() < until:
            count += 1
            request = f"{self.number:04x}{count:012x}"
            kept = self.writer is not None
            self.results[request] = (None, kept)
            self.record.note(f"sent     {request} to {self.daemon.name}")
            try:
                message = await asyncio.wait_for(self.call(request),
                                                 LIMIT_S + 1)
                self.results[request] = (message.status, kept)
                self.record.note(f"answered {request} {message.status}")
            except (httpio.Ended, OSError, asyncio.TimeoutError) as error:
                self.record.note(f"ended    {request} {error}")
                self.leave()
            await asyncio.sleep(PAUSE_S)
        self.leave()

    async def call(self, request):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.daemon.address, self.daemon.front)
        self.writer.write(httpio.request("POST", f"/approve/{request}", [
            ("Host", fleet.HOST), ("X-Sapphirelane-Request-Id", request),
            ("X-Sapphirelane-Deadline-Ms", str(int(LIMIT_S * 1000))),
            ("X-Sapphirelane-Credential", fleet.KEY)], b"cue"))
        return await httpio.read_message(self.reader)

    def leave(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def case(record, files):
    record.traffic_at = None
    store = fleet.Store()
    await store.start()
    fleet.write_config(store, 7, [fleet.Route(
        "approve", "/approve/", "non_idempotent", "cueledger", LIMIT_S, 0.8)],
        ["cueledger"])
    endpoints = [SpoilingEndpoint(store, record, f"i-{number:04d}", "cueledger",
                                  slots=4, work_s=WORK_S,
                                  spoils=number < SPOILED_ENDPOINTS)
                 for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    peers = fleet.free_port()
    daemons = [fleet.Daemon(store, files, number + 1, peers, [])
               for number in range(DAEMONS)]
    machines = [Machine(daemon, record) for daemon in daemons]
    results = {}
    for daemon in daemons:
        daemon.start()
    watches = []
    try:
        for daemon in daemons:
            await daemon.wait_ready()
        watches = [asyncio.create_task(one.watch()) for one in machines]
        await asyncio.sleep(fleet.BOUNDS["settle_window_s"])
        record.traffic_at = time.monotonic()
        until = record.traffic_at + SECONDS
        await asyncio.gather(*(
            Client(d * CLIENTS + i, daemons[d], record, results).run(until)
            for d in range(DAEMONS) for i in range(CLIENTS)))
    finally:
        for watch in watches:
            watch.cancel()
        for daemon in daemons:
            daemon.end()
    sound = {run for one in endpoints if not one.spoils
             for run, _, _ in one.runs}
    lost = [sum(1 for request, (status, kept) in results.items()
                if status is None and kept and request in sound and
                int(request[:4], 16) // CLIENTS == number)
            for number in range(DAEMONS)]
    served = sum(1 for status, _ in results.values() if status == 200)
    if served < 100:
        raise fleet.CannotRun(f"{served} served")
    spoiled = sum(one.spoiled for one in endpoints)
    over = [one for one in machines if len(one.ends) >= LEAST_ENDS]
    summary = (f"{len(results)} requests sent, {served} served; {spoiled} "
               f"answers spoiled\n"
               "Fault: ends by themselves, exit codes: "
               + ", ".join(f"{one.daemon.name} {one.ends}" for one in machines)
               + "\nLOST: requests from kept connections at sound endpoints, "
               "whose connection ended without an answer: "
               + ", ".join(f"{one.name} {count}"
                           for one, count in zip(daemons, lost)))
    return len(over) >= 2 or max(lost) > MOST_LOST, summary


if __name__ == "__main__":
    fleet.play(HERE, case)

"""An endpoint turns a request away, runs it when the daemon sends it once more
on the same connection, and a second copy of its first answer arrives late.

TROUBLE=0 plays the same without the second copies.
"""
import asyncio
import collections
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import fleet   # noqa: E402
import httpio  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ATTEMPTS = int(os.environ.get("ATTEMPTS", "2"))   # max_attempts of the route
SECONDS = 84.0          # of traffic
CLIENTS = 60
ENDPOINTS = 5
LIMIT_S = 2.0
WORK_S = 0.05
# The two impairments come once in each cycle, as long and as strong as in the
# days of the site file.
CYCLE_S = 12.0
SHED_SHARE, SHED_S = 0.55, 8.5            # srv_grey, how = "shed all"
COPY_ENDPOINTS, COPY_SHARE = 3, 0.03      # garble, how = "extra late":
COPY_AT_S, COPY_S = 1.0, 5.0              # 0.6 of the endpoints


class GrayEndpoint(fleet.Endpoint):
    """Turns a share of the requests away, and sends a second copy of some of
    its answers where the next answer on that connection is expected."""

    def __init__(self, *arguments, copies, **options):
        super().__init__(*arguments, **options)
        self.sends_copies = copies
        self.arrivals = 0
        self.answers = 0
        self.copies = 0

    def moment(self):
        """Time in the cycle; negative before the traffic starts."""
        begin = self.record.traffic_at
        return -1.0 if begin is None else \
            (time.monotonic() - begin) % CYCLE_S

    def sheds(self, _request):
        if not 0 <= self.moment() < SHED_S:
            return False
        self.arrivals += 1
        return int(self.arrivals * SHED_SHARE) > \
            int((self.arrivals - 1) * SHED_SHARE)

    async def handle(self, message, connection):
        copy = connection.pop("copy", None)
        if copy is not None:
            connection["writer"].write(copy)
            self.copies += 1
            self.record.note(f"copy     of an earlier answer by {self.name}")
        answer = await super().handle(message, connection)
        spoils = TROUBLE and self.sends_copies and \
            COPY_AT_S <= self.moment() < COPY_AT_S + COPY_S
        if spoils:
            self.answers += 1
            if int(self.answers * COPY_SHARE) > \
                    int((self.answers - 1) * COPY_SHARE):
                connection["copy"] = answer
        return answer


class Client:
    """Sends one request after the other on a kept connection."""

    def __init__(self, number, daemon, record, sent):
        self.number = number
        self.daemon = daemon
        self.record = record
        self.sent = sent         # request id -> status, or None
        self.writer = None

    async def run(self, until):
        count = 0
        while time.monotonic() < until:
            count += 1
            request = f"{self.number:04x}{count:012x}"
            self.sent[request] = None
            self.record.note(f"sent     {request}")
            try:
                message = await asyncio.wait_for(self.call(request),
                                                 LIMIT_S + 1)
                self.sent[request] = message.status
                self.record.note(f"answered {request} {message.status}")
                if message.headers.get("connection", "") == "close":
                    self.leave()
                if message.status != 200:
                    wait = float(message.headers.get("retry-after", "0.1"))
                    await asyncio.sleep(min(wait, LIMIT_S / 3))
            except (httpio.Ended, OSError, asyncio.TimeoutError) as error:
                self.record.note(f"ended    {request} {error}")
                self.leave()
        self.leave()

    async def call(self, request):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.daemon.address, self.daemon.front)
        self.writer.write(httpio.request("POST", f"/approve/{request}", [
            ("Host", fleet.HOST), ("X-Sapphirelane-Request-Id", request),
            ("X-Sapphirelane-Deadline-Ms", str(int(LIMIT_S * 1000))),
            ("X-Sapphirelane-Credential", fleet.KEY)], request.encode()))
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
        "approve", "/approve/", "non_idempotent", "cueledger", LIMIT_S, 0.8,
        max_attempts=ATTEMPTS)], ["cueledger"])
    endpoints = [GrayEndpoint(store, record, f"i-{number:04d}", "cueledger",
                              work_s=WORK_S, copies=number < COPY_ENDPOINTS)
                 for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    daemon = fleet.Daemon(store, files, 1, fleet.free_port(), [])
    daemon.start()
    sent = {}
    try:
        await daemon.wait_ready()
        await asyncio.sleep(fleet.BOUNDS["settle_window_s"])
        record.traffic_at = time.monotonic()
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(Client(i, daemon, record, sent).run(until)
                               for i in range(CLIENTS)))
        await asyncio.sleep(0.5)
        ended = daemon.child.poll()
    finally:
        daemon.end()
    runs = [run for one in endpoints for run, _, _ in one.runs]
    times = collections.Counter(runs)
    twice = sorted(run for run, count in times.items() if count > 1)
    untrue = sorted(run for run in set(runs)
                    if sent.get(run) in (408, 421, 429, 503))
    served = sum(1 for status in sent.values() if status == 200)
    if served < 100 or ended is not None:
        raise fleet.CannotRun(f"{served} served, the daemon ended: {ended}")
    copies = sum(one.copies for one in endpoints)
    summary = (f"{len(sent)} non-idempotent requests sent, {served} served; "
               f"{copies} second copies of an answer\n"
               f"REFUSED: {len(untrue)} answered 503 although an endpoint ran "
               f"them: {untrue[:10]}\n"
               f"TWICE: {len(twice)} ran more than once: {twice[:10]}")
    return bool(untrue or twice), summary


if __name__ == "__main__":
    fleet.play(HERE, case)

"""A planned stop while a client keeps sending further requests before the
first one has been answered.

TROUBLE=0 plays the same without the SIGTERM.
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
CLIENTS = 3
LIMIT_S = 2.0
WORK_S = 0.29
PERIOD_S = 0.2          # between two requests of a client
BEFORE_S = 3.0
AFTER_S = 8.0


class Client:
    """Sends a request each PERIOD_S on one connection until it is told that
    the connection closes."""

    def __init__(self, number, daemon, record):
        self.number = number
        self.daemon = daemon
        self.record = record
        self.sent = {}           # request id -> time
        self.answered = {}       # request id -> status
        self.closing = False     # "Connection: close" has come
        self.ended = None

    async def run(self, until):
        self.reader, self.writer = await asyncio.open_connection(
            self.daemon.address, self.daemon.front)
        reads = asyncio.create_task(self.read())
        count = 0
        while time.monotonic() < until and not self.closing and \
                self.ended is None:
            count += 1
            request = f"{self.number:04x}{count:012x}"
            self.sent[request] = time.monotonic()
            self.record.note(f"sent     {request}")
            self.writer.write(httpio.request("GET", f"/script/{request}", [
                ("Host", fleet.HOST), ("X-Sapphirelane-Request-Id", request),
                ("X-Sapphirelane-Deadline-Ms", str(int(LIMIT_S * 1000))),
                ("X-Sapphirelane-Credential", fleet.KEY)]))
            await asyncio.sleep(PERIOD_S)
        try:
            await asyncio.wait_for(reads, LIMIT_S + 1)
        except asyncio.TimeoutError:
            pass
        self.writer.close()

    async def read(self):
        try:
            while True:
                message = await httpio.read_message(self.reader)
                request = next(iter(r for r in self.sent
                                    if r not in self.answered))
                self.answered[request] = message.status
                self.record.note(f"answered {request} {message.status}")
                if message.headers.get("connection", "").lower() == "close":
                    self.closing = True
                    self.ended = time.monotonic()
                    return
        except (httpio.Ended, OSError) as error:
            self.ended = time.monotonic()
            self.record.note(f"client {self.number}: the connection ended: "
                             f"{error}")


async def case(record, files):
    store = fleet.Store()
    await store.start()
    fleet.write_config(store, 7, [fleet.Route(
        "script", "/script/", "idempotent", "scriptdesk", LIMIT_S, 0.8)],
        ["scriptdesk"])
    endpoints = [fleet.Endpoint(store, record, f"i-{number:04d}", "scriptdesk",
                                work_s=WORK_S) for number in range(6)]
    for endpoint in endpoints:
        await endpoint.start()
    daemon = fleet.Daemon(store, files, 1, fleet.free_port(), [])
    daemon.start()
    stopped = None
    try:
        await daemon.wait_ready()
        await asyncio.sleep(fleet.BOUNDS["settle_window_s"])
        clients = [Client(i, daemon, record) for i in range(CLIENTS)]
        until = time.monotonic() + BEFORE_S + AFTER_S
        work = [asyncio.create_task(one.run(until)) for one in clients]
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            stopped, _ = await fleet.Platform.stop(daemon, record)
        await asyncio.gather(*work)
        if not TROUBLE and daemon.child.poll() is not None:
            raise fleet.CannotRun("the daemon ended")
    finally:
        daemon.end()
    ran = {run: at for one in endpoints for run, at, _ in one.runs}
    lost, excused = [], 0
    for client in clients:
        for request, at in client.sent.items():
            if request in client.answered or request not in ran or \
                    client.ended is None or client.closing:
                continue
            reached_limit = client.ended - at >= LIMIT_S
            # An endpoint still at work in the last sixth of the grace excuses
            # a request that was sent up to 3 s after SIGTERM.
            late = stopped is not None and at <= stopped + 3.0 and \
                client.ended >= stopped + fleet.GRACE_S * 5 / 6
            if reached_limit or late:
                excused += 1
            else:
                lost.append((request, at, client.ended))
    sent = sum(len(one.sent) for one in clients)
    answered = sum(len(one.answered) for one in clients)
    told = sum(1 for one in clients if one.closing)
    base = stopped or 0.0
    summary = (f"{sent} idempotent requests sent, {answered} answered; "
               f"{told} of {CLIENTS} clients were told that their connection "
               f"closes\n"
               f"LOST: {len(lost)} requests that an endpoint ran got no answer "
               f"as the connection ended ({excused} more excused): "
               + ", ".join(f"{r} sent {at - base:.2f} s and cut "
                           f"{end - base:.2f} s after SIGTERM"
                           for r, at, end in lost[:6]))
    return bool(lost), summary


if __name__ == "__main__":
    fleet.play(HERE, case)

"""A planned stop while requests wait in the daemon for a slot.

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
CLIENTS = 70
LIMIT_S = 40.0          # limit, work and slots as of lumina-sat's unlock-status
WORK_S = 1.8
SLOTS = 6
SPREAD_S = 1.0          # in which the clients send
STOP_AFTER_S = 1.5      # from the first request to SIGTERM


class Result:
    def __init__(self, request):
        self.request = request
        self.sent = 0.0
        self.ended = 0.0
        self.status = None
        self.error = ""


async def send(number, daemon, record, results):
    await asyncio.sleep(SPREAD_S * number / CLIENTS)
    request = f"{number:016x}"
    result = results[request] = Result(request)
    writer = None
    try:
        reader, writer = await asyncio.open_connection(daemon.address,
                                                       daemon.front)
        writer.write(httpio.request("GET", f"/unlock/{number}", [
            ("Host", fleet.HOST), ("X-Sapphirelane-Request-Id", request),
            ("X-Sapphirelane-Deadline-Ms", str(int(LIMIT_S * 1000))),
            ("X-Sapphirelane-Credential", fleet.KEY)]))
        result.sent = time.monotonic()
        record.note(f"sent     {request}")
        message = await asyncio.wait_for(httpio.read_message(reader),
                                         LIMIT_S + 1)
        result.status = message.status
        record.note(f"answered {request} {message.status}")
    except (httpio.Ended, OSError, asyncio.TimeoutError) as error:
        result.error = str(error) or type(error).__name__
        record.note(f"no answer {request}: {result.error}")
    result.ended = time.monotonic()
    if writer is not None:
        writer.close()


async def case(record, files):
    store = fleet.Store()
    await store.start()
    fleet.write_config(store, 7, [fleet.Route(
        "unlock", "/unlock/", "idempotent", "teren", LIMIT_S, 6.0,
        priority=2)], ["teren"])
    endpoints = [fleet.Endpoint(store, record, f"i-{number:04d}", "teren",
                                slots=SLOTS, work_s=WORK_S) for number in range(2)]
    for endpoint in endpoints:
        await endpoint.start()
    daemon = fleet.Daemon(store, files, 1, fleet.free_port(), [])
    daemon.start()
    results = {}
    try:
        await daemon.wait_ready()
        await asyncio.sleep(fleet.BOUNDS["settle_window_s"])
        work = [asyncio.create_task(send(i, daemon, record, results))
                for i in range(CLIENTS)]
        await asyncio.sleep(STOP_AFTER_S)
        stopped = time.monotonic()
        if TROUBLE:
            stopped, _ = await fleet.Platform.stop(daemon, record)
        await asyncio.gather(*work)
        if not TROUBLE and daemon.child.poll() is not None:
            raise fleet.CannotRun("the daemon ended")
    finally:
        daemon.end()
    ran = {run for one in endpoints for run, _, _ in one.runs}
    arrived = {run for one in endpoints for run in one.seen}
    cut = [one for one in results.values() if one.status is None]
    # Those that an endpoint has are left aside: it may still be at work.
    lost = [one for one in cut if one.request not in arrived and
            one.sent < stopped and
            one.ended - one.sent > fleet.BOUNDS["loss_slack_s"] and
            one.ended - one.sent < LIMIT_S]
    summary = (f"{len(results)} requests sent before SIGTERM; "
               f"{sum(1 for o in results.values() if o.status == 200)} served, "
               f"{sum(1 for o in results.values() if o.status == 503)} refused "
               f"with 503, {len(cut)} without an answer, {len(ran)} run\n"
               f"LOST: {len(lost)} connections ended without an answer to a "
               f"request that no endpoint had got, "
               f"{LIMIT_S:.0f} s limit: "
               + ", ".join(f"{o.request[-2:]} {o.ended - stopped:.1f} s after "
                           "SIGTERM" for o in lost[:5]))
    return bool(lost), summary


if __name__ == "__main__":
    fleet.play(HERE, case)

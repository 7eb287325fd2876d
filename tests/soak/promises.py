"""What must hold, checked against what callers and endpoints saw."""
import collections

from endpoints import body_of, receipt

DRAIN_S = 2.0         # bounds of the standard sites
CONFIG_S = 2.0
EVACUATE_S = 5.0
OUTER_S = 5.0         # more while the store is unstable
SETTLE_S = 3.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
LATE_S = 0.5          # an answer beyond the caller's limit
PROMISES = (408, 421, 429, 503)
LEAST_SERVED = 0.8    # of the requests in the calm at the end
FIRST_ENDS = 2        # endpoints that a deadly request ends before it is known
TRIALS = 2            # in the time for which it returns


class Verdict:
    """Broken promises, each with what shows it."""

    def __init__(self, world):
        self.world = world
        self.broken = []
        self.runs = collections.defaultdict(list)
        for run in world.runs:
            self.runs[run.request].append(run)

    def note(self, promise, text):
        self.broken.append(f"{promise}: {text}")

    def check(self):
        attempts = {one.request: one for one in self.world.attempts}
        for run in self.world.runs:
            self.check_run(run, attempts.get(run.request))
        for attempt in self.world.attempts:
            self.check_attempt(attempt)
        self.check_quota(attempts)
        self.check_end()
        self.check_deadly()
        for daemon in self.world.daemons:
            for fault in daemon.faults:
                self.note("process", f"{daemon.name} {fault}")
        return self.broken

    def check_run(self, run, attempt):
        where = f"{run.request} on {run.endpoint}"
        if attempt is None:
            self.note("own request", f"{where}: no caller sent it")
            return
        if (run.method, run.target) != (attempt.method, attempt.target):
            self.note("own request", f"{where}: method or path differ")
        if run.body is not None and run.body != attempt.body:
            self.note("own request", f"{where}: body of {len(run.body)} bytes, "
                      f"{len(attempt.body)} were sent by {attempt.daemon}, "
                      f"{'chunked' if attempt.sending.chunked else 'length'}: "
                      f"{attempt.status} {attempt.error}")
        if run.tenant != attempt.tenant:
            self.note("account", f"{where}: ran for {run.tenant}, key of "
                      f"{attempt.tenant}")
        if run.key_seen:
            self.note("no key", f"{where}: the endpoint saw a key")
        if run.left_ms > attempt.limit_s * 1000:
            self.note("limit", f"{where}: got {run.left_ms} ms")
        self.check_route(run, attempt, where)
        self.check_leaving(run, attempt, where)
        self.check_evacuated(run, where)
        self.check_key(run, attempt, where)

    def check_route(self, run, attempt, where):
        if run.service not in self.world.allowed[attempt.route]:
            self.note("route", f"{where}: {run.service} is not of "
                      f"{attempt.route}")

    def in_touch(self, attempt, begin, end):
        daemon = self.world.daemon(attempt.daemon)
        return not daemon.harmed(begin, end) and \
            not self.world.store_harmed(begin, end) and \
            not self.world.lagged(begin, end)

    def check_leaving(self, run, attempt, where):
        endpoint = self.world.endpoint(run.endpoint)
        if endpoint.left_at is None:
            return
        late = attempt.sent - (endpoint.left_at + DRAIN_S)
        if late > 0 and self.in_touch(attempt, endpoint.left_at - SETTLE_S,
                                      run.at):
            self.note("leaving", f"{where}: {late:.2f} s late")

    def check_evacuated(self, run, where):
        """Nothing runs in a data centre from the bound on, wherever its caller
        sent it, until the evacuation is taken back."""
        zone = self.world.endpoint(run.endpoint).zone
        for evacuated, begin, end in self.world.evacuations:
            until = run.at if end is None else end
            if evacuated != zone or not begin < run.at <= until:
                continue
            bound = EVACUATE_S
            if self.world.store_harmed(begin, run.at):
                bound += OUTER_S
            late = run.at - begin - bound
            if late > 0 and not self.world.lagged(begin, run.at):
                self.note("evacuated", f"{where} in {zone}: {late:.2f} s late")

    def check_key(self, run, attempt, where):
        gone = self.world.withdrawn.get(attempt.key)
        if gone is None or attempt.sent <= gone + CONFIG_S:
            return
        if self.in_touch(attempt, gone - SETTLE_S, run.at):
            self.note("key", f"{where}: withdrawn "
                      f"{attempt.sent - gone:.2f} s before it was sent")

    def check_attempt(self, attempt):
        runs = self.runs[attempt.request]
        if not attempt.idempotent and len(runs) > 1:
            self.note("at most once", f"{attempt.request} ran on "
                      f"{[run.endpoint for run in runs]}")
        if attempt.status in PROMISES and runs and not attempt.idempotent:
            self.note("not run", f"{attempt.request} got {attempt.status} "
                      f"and ran on {runs[0].endpoint}")
        if attempt.status == 404:
            self.note("route", f"{attempt.request}: {attempt.route} is of every "
                      "configuration, and got 404")
        if attempt.status != 0:
            self.check_answer(attempt, runs)
        self.check_time(attempt)
        self.check_cut(attempt, runs)

    def check_answer(self, attempt, runs):
        """An answer is what an endpoint gave that ran the request."""
        headers = attempt.answer.headers
        endpoint = headers.get("x-soak-endpoint")
        given = [run.answer for run in runs if run.endpoint == endpoint]
        good = 200 <= attempt.status < 300
        if (good or endpoint is not None) and \
                (attempt.status, attempt.answer.body) not in given:
            self.note("own answer", f"{attempt.request} got a "
                      f"{attempt.status} that {endpoint} did not give")
        if not good:
            return
        signed = headers.get("x-sapphirelane-response-signature")
        right = {receipt(attempt.request, run.endpoint) for run in runs}
        if signed not in right or \
                headers.get("x-sapphirelane-request-id") != attempt.request or \
                attempt.answer.body != body_of(attempt.request):
            self.note("own answer", f"{attempt.request} got another's answer")

    def check_time(self, attempt):
        late = attempt.ended - attempt.sent - attempt.limit_s
        if late > LATE_S and not self.world.lagged(attempt.sent, attempt.ended):
            daemon = self.world.daemon(attempt.daemon)
            if not daemon.harmed(attempt.sent, attempt.ended):
                self.note("in time", f"{attempt.request} of {attempt.daemon} "
                          f"ended {late:.2f} s late: {attempt.status} "
                          f"{attempt.error}")

    def check_cut(self, attempt, runs):
        """A planned stop cuts off no request that an endpoint has."""
        if attempt.status != 0 or attempt.left or not runs:
            return
        daemon = self.world.daemon(attempt.daemon)
        stops = [at for at in daemon.terms
                 if attempt.sent - 3 < at < attempt.ended]
        sound = not self.world.endpoint_harmed(
            runs[-1].endpoint, attempt.sent - SETTLE_S, attempt.ended)
        others = [a for a, b in daemon.harms if a not in stops and
                  a <= attempt.ended and b >= attempt.sent and
                  not any(abs(a - at) < 0.01 for at in stops)]
        if stops and sound and not others:
            self.note("graceful stop", f"{attempt.request} was cut off by "
                      f"{attempt.daemon}: {attempt.error}")

    def check_quota(self, attempts):
        for tenant, (rate, burst) in self.world.rates.items():
            most = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE) + \
                QUOTA_SLACK
            times = sorted((attempts[run.request].sent, run.at)
                           for run in self.world.runs
                           if run.tenant == tenant and run.request in attempts)
            for index, (first, _) in enumerate(times):
                last = first + QUOTA_WINDOW_S
                count = sum(1 for sent, at in times[index:]
                            if sent <= last and at <= last)
                if count > most:
                    self.note("quota", f"{tenant}: {count} runs within "
                              f"{QUOTA_WINDOW_S} s, at most {most:.0f}")
                    break

    def check_deadly(self):
        """A deadly request ends few endpoints, though it returns."""
        if self.world.deadly_times is None:
            return
        # A daemon that was down or out of touch may not have heard of it.
        unaware = sum(1 for one in self.world.daemons
                      if one.harmed(*self.world.deadly_times))
        most = FIRST_ENDS * (1 + unaware) + TRIALS
        if self.world.deadly_ends > most:
            self.note("deadly request", f"{self.world.deadly_ends} endpoints "
                      f"ended, at most {most}")

    def check_end(self):
        """In the calm at the end callers are served."""
        owed = [one for one in self.world.attempts
                if one.sent > self.world.calm_at and one.status != 429
                and one.key not in self.world.withdrawn]
        served = sum(1 for one in owed if 200 <= one.status < 300)
        if owed and served < LEAST_SERVED * len(owed) and \
                not self.world.lagged(self.world.calm_at, self.world.end_at):
            self.note("recovery", f"{served} of {len(owed)} served in the "
                      "calm at the end")

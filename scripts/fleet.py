"""Starts stand-ins and daemons on loopback, for the demo and measurements."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"


def http(method, address, path, body=None, timeout=5):
    """Calls an HTTP server and returns status and text."""
    request = urllib.request.Request(f"http://{address}{path}", method=method,
                                     data=body.encode() if body else None)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


class Fleet:
    """Entry daemons with their stand-ins; everything ends with close()."""

    def __init__(self, folder, daemons=3, data_centres=3, base=18000,
                 platform_port=19200):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.base = base
        self.platform = f"127.0.0.1:{platform_port}"
        self.data_centres = data_centres
        self.children = {}
        out = subprocess.run([BIN / "sapphirelanectl", "credential"],
                             capture_output=True, text=True, check=True).stdout
        words = dict(line.split(": ") for line in out.splitlines())
        self.credential = words["credential"]
        self.digest = words["operator_digest"]
        self.start_with("platform", "standin-platform", port=platform_port)
        self.names = [f"entry-{i + 1}" for i in range(daemons)]
        self.write_settings()

    def ports(self, name):
        """Callers', operators' and peers' port of a daemon."""
        number = int(name.split("-")[1])
        return (self.base + number, self.base + 400 + number,
                self.base + 800 + number)

    def callers(self, name):
        return f"127.0.0.1:{self.ports(name)[0]}"

    def operators(self, name):
        return f"127.0.0.1:{self.ports(name)[1]}"

    def write_settings(self):
        seeds = [f"127.0.0.1:{self.ports(n)[2]}" for n in self.names[:5]]
        for index, name in enumerate(self.names):
            callers, operators, peers = self.ports(name)
            (self.folder / f"{name}.yaml").write_text(
                f"host: {name}\n"
                f"data_centre: dc-{index % self.data_centres + 1}\n"
                f"listen: {{ callers: {callers}, operators: {operators}, "
                f"peers: {peers} }}\n"
                f"platform: {{ address: {self.platform}, timeout_ms: 500 }}\n"
                f"seeds: {json.dumps(seeds)}\n"
                f"fleet_secret: {self.credential}\n"
                f"operator_digest: {self.digest}\n"
                f"log: {self.folder / name}.log\n")

    def start(self, key, program, *arguments):
        error = open(self.folder / f"{key}.err", "w")
        self.children[key] = subprocess.Popen(
            [BIN / program, *map(str, arguments)], stdout=error, stderr=error)

    def start_with(self, key, program, **settings):
        """Starts a stand-in with a settings file."""
        path = self.folder / f"{key}.yaml"
        path.write_text("".join(f"{k}: {v}\n" for k, v in settings.items()))
        self.start(key, program, "--settings", path)

    def start_daemon(self, name):
        log = self.folder / f"{name}.log"
        log.unlink(missing_ok=True)
        self.start(name, "sapphirelane-entry", "--settings",
                   self.folder / f"{name}.yaml")

    def start_upstreams(self, key, first, endpoints, control, **settings):
        self.start_with(key, "standin-upstream", control=control,
                        first_port=first, endpoints=endpoints, **settings)

    def ctl(self, name, *words, check=True):
        environment = dict(os.environ, SAPPHIRELANE_CREDENTIAL=self.credential)
        return subprocess.run(
            [BIN / "sapphirelanectl", "--to", self.operators(name),
             *map(str, words)],
            capture_output=True, text=True, check=check, env=environment)

    def status(self, name):
        return json.loads(self.ctl(name, "status").stdout)

    def await_ready(self, patience=20):
        """Waits until every daemon is a member of one whole map and fresh."""
        last = time.monotonic() + patience
        while time.monotonic() < last:
            try:
                states = [self.status(name) for name in self.names]
                if all(s["fresh"] and s["members"] == len(self.names)
                       for s in states):
                    return
            except (subprocess.CalledProcessError, ValueError):
                pass
            time.sleep(0.2)
        raise SystemExit("the fleet did not become ready")

    def platform_faults(self, **faults):
        http("PUT", self.platform, "/control", json.dumps(faults))

    def stop(self, key, how=signal.SIGTERM, patience=40):
        """Signals a child and returns its exit code."""
        child = self.children.pop(key)
        child.send_signal(how)
        return child.wait(patience)

    def signal(self, key, how):
        self.children[key].send_signal(how)

    def close(self):
        for child in self.children.values():
            child.kill()
        for child in self.children.values():
            child.wait()
        self.children.clear()

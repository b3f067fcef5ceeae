"""What the cases share: the platform's part (configuration, list agent), the gateway's processes, and the record."""
import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT = 0, 1, 2


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def settings(gateways=1, me=0, **changes):
    """The settings of a small deployment, in the form of the operators' pages."""
    text = {
        "balancers": gateways, "me": me, "zone": "hall-a", "discovery": "pushed",
        "clients": {"marksRetry": False}, "dcs": ["hall-a", "hall-b"], "family": "gate",
        "familyInfo": {"countWaitUs": 50000, "counterPrice": 0.005, "mailPerS": 0.0, "sharedCounter": False,
                       "truedUp": False, "unitsTop": 6, "usePeriodUs": 1000000},
        "limits": {"cancel": True, "connectTimeoutUs": 250000, "keepaliveUs": 30000000, "maxAttempts": 6,
                   "maxRetryAfterUs": 2000000, "parallelTries": False, "peerMessages": False, "probing": False,
                   "retryAfter": False, "streamsPerConn": 1, "openCap": 27290},
        "report": {"fields": ["latency_ms", "inflight"], "how": "answers"},
        "rules": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldFrom": 0.27, "coldUs": 18000000,
                  "stopSendingWithinUs": 500000, "tipAfterUs": 3000000, "tipMultiple": 4.0},
        "services": [
            {"aimUs": 600000, "deadlineUs": 2000000, "dedupScope": "all", "effect": "repeatable", "lateWorth": 0.0,
             "name": "balance-check", "streaming": False, "windowUs": 5000000, "worth": 2.0},
            {"aimUs": 300000, "deadlineUs": 750000, "dedupScope": "cell", "effect": "by_key", "lateWorth": 0.0,
             "name": "top-up", "streaming": False, "windowUs": 750000, "worth": 5.0}],
        "tariffs": [{"burst": 10000.0, "capDepth": 0.0, "capSlack": 0.0, "ceilingRate": 0.0, "excessWorth": 0.1,
                     "maxOut": 0, "name": "lille", "overrunCost": 0.0, "pays": 1.0, "unitsPerS": 5000.0}],
        "weights": "nominal",
    }
    text.update(changes)
    return text


def endpoint(uid, port, cell=0, state="Ready", proto=None, boot_ms=0):
    entry = {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "hall-a", "model": "std-2core", "pod_group": cell,
             "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}
    return {**entry, "proto": proto} if proto else entry


class Agent:
    """The list agent: answers at once with the whole list, and watches when there is something newer or time is up."""

    def __init__(self, entries):
        self.entries = {e["uid"]: e for e in entries}
        self.rev = 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def put(self, entry):
        async with self.changed:
            self.entries[entry["uid"]] = entry
            self.rev += 1
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if "=" in p)
                since = int(query.get("from", -1))
                if since >= self.rev:
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > since),
                                                   min(int(query.get("hold_ms", 0)), 60000) / 1000)
                        except asyncio.TimeoutError:
                            pass
                fresh = since < self.rev
                body = json.dumps({"rev": self.rev, "all": fresh,
                                   "targets": list(self.entries.values()) if fresh else []}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Case:
    """A temporary folder, the processes started, and record.txt. Leaving it ends all of the processes."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        # A short path: the socket of a replacement lies in the folder, and its path has at most 90 bytes.
        short = len(tempfile.gettempdir()) <= 40
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="review-", dir=None if short else "/tmp"))
        self.record_file = open(self.folder / "record.txt", "w")
        self.started = time.time()
        self.processes = []
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text):
        print(f"{time.time() - self.started:8.3f} {text}", file=self.record_file, flush=True)

    async def spawn(self, *command, lines=None, **kwargs):
        process = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, cwd=ROOT, start_new_session=True, **kwargs)
        self.processes.append(process)

        async def follow():
            while line := await process.stdout.readline():
                (lines or (lambda text: self.note(f"log {text}")))(line.decode(errors="replace").rstrip())
        process.follower = asyncio.ensure_future(follow())
        return process

    async def gateway(self, name, config, operator=None, run=None, extra_env=None):
        """Starts a gateway by the deploy file's command `run`, with the operator's file if there is one."""
        file = self.tmp / f"{name}-{len(self.processes)}.json"
        file.write_text(json.dumps(config))
        command = run or tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if operator is not None:
            command += f" --operator {operator}"
        env = {**os.environ, "NODE_CONFIG": str(file), "NODE_NAME": config["name"],
               "NODE_LISTEN": config["listen"], "NODE_DISCOVERY": config["discovery"],
               "TMPDIR": str(self.tmp), **(extra_env or {})}
        process = await self.spawn("/bin/sh", "-c", command, env=env,
                                   lines=lambda text: self.note(f"{name}: {text}"))
        self.note(f"{name}: started, pid {process.pid}")
        return process

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        self.record_file.flush()
        shutil.rmtree(self.tmp, ignore_errors=True)


def config(name, port, agent, settings_, known, console=None, counter=None, memory_mb=192, sockets=1024):
    text = {"name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{agent.port}",
            "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "counter": counter, "known": {"rev": 1, "all": True, "targets": known}, "settings": settings_}
    if console:
        text["console"] = f"127.0.0.1:{console}"
    return text


async def http(port, text, timeout=5.0):
    """One call on a connection of its own; returns (status, body) or None if it was not answered whole."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout)
        try:
            writer.write(text.encode())
            return await asyncio.wait_for(read_response(reader), timeout)
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = int(head.split(" ")[1])
    headers = {k.lower(): v.strip() for k, _, v in (l.partition(":") for l in head.split("\r\n")[1:] if l)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, body, headers


async def until_ready(port, seconds=20):
    end = time.time() + seconds
    while time.time() < end:
        answer = await http(port, "GET /ready HTTP/1.1\r\nHost: g\r\n\r\n")
        if answer and answer[0] == 200:
            return
        await asyncio.sleep(0.02)
    raise RuntimeError("the gateway is not ready")


class DiameterSite:
    """Credit-control servers, each a process, in cells of the given sizes; what they ran and answered."""

    def __init__(self, case):
        self.case = case
        self.processes, self.ports, self.cells = {}, {}, {}
        self.arrivals = []     # (time, server, connection, (session, number), ran, t_flag)
        self.answers = {}      # (server, connection, (session, number)) -> time
        self.ended = []        # (time, server, connection)

    def line(self, text):
        self.case.note(text)
        try:
            line = json.loads(text)
        except ValueError:
            return
        name = line["server"]
        key = line.get("session"), line.get("number")
        if "port" in line:
            self.ports[name] = line["port"]
        elif "ran" in line:
            self.arrivals.append((line["t"], name, line["connection"], key, line["ran"], line["t_flag"]))
        elif "answered" in line:
            self.answers[name, line["connection"], key] = line["t"]
        elif "ended" in line:
            self.ended.append((line["t"], name, line["connection"]))

    async def start(self, cells, *arguments):
        for cell, names in enumerate(cells, 1):
            folder = self.case.tmp / f"cell-{cell}"
            folder.mkdir()
            for name in names:
                self.cells[name] = cell
                self.processes[name] = await self.case.spawn(
                    sys.executable, str(STANDINS / "diameter_server.py"), "--host", name, "--cell", str(folder),
                    *arguments, lines=self.line)
        while len(self.ports) < len(self.cells):
            await asyncio.sleep(0.02)
        return [endpoint(n, self.ports[n], cell=c, proto="diameter") for n, c in self.cells.items()]

    def runs(self):
        """The servers that ran each request, in order."""
        found = {}
        for _, name, _, key, ran, _ in self.arrivals:
            if ran:
                found.setdefault(key, []).append(name)
        return found


def diameter_table(folder, name, port, more=""):
    file = folder / f"{name}.toml"
    file.write_text(f"""[diameter]
listen = "127.0.0.1:{port}"
identity = "{name}.example.org"
realm = "example.org"
check_class = "balance-check"
charge_class = "top-up"
default_plan = "lille"
{more}""")
    return file


def run_case(main):
    """Runs the case within 110 s. Exits with 10 (held), 11 (broken) or 12 (could not run), which run.sh turns into 0, 1
    and 2: whatever else ends Python, with its own exit code 1, is no broken rule."""
    async def limited():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(main(), 110)
    try:
        code = asyncio.run(limited())
    except BaseException as error:
        print(f"could not run: {error!r}")
        code = CANNOT
    sys.exit(10 + code)

"""Stand-ins and process control for the scripts of this review. Standard library only.

A store, backend servers and clients run on one asyncio loop; the gateways are the project's own
program, started with the command of the deploy file. Every address is a loopback address.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/release/peridotrackd", "gateway"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
# Time for which the store keeps changes, in seconds (historyS of the settings).
HISTORY_S = 20.0


def now():
    return time.monotonic() - STARTED


class Closed(Exception):
    """The peer closed the connection."""


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed() from error
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Returns the next chunk of a chunked body, empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        return data[:size]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed() from error


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    length = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed() from error


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status, body, headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), *headers]
    return head(status, [*headers, ("Content-Length", len(body))]) + body


class Store:
    """The platform's store: conditional writes, lists and watches, linearizable."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.forgotten = 0
        self.calls = 0
        self.latency_s = 0.004

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def document(self, kind, name):
        revision, created, spec = self.objects[kind, name]
        meta = {"name": name, "revision": revision, "createdRev": created, "finalizers": [],
                "deleting": False}
        return {"metadata": meta, "spec": spec, "status": None}

    async def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known[2] == spec:
            return
        self.revision += 1
        created = known[1] if known else self.revision
        self.objects[kind, name] = (self.revision, created, spec)
        await self.record(kind, {"object": self.document(kind, name), "tombstone": False})

    async def remove(self, kind, name):
        if (kind, name) in self.objects:
            document = self.document(kind, name)
            del self.objects[kind, name]
            self.revision += 1
            await self.record(kind, {"object": document, "tombstone": True})

    async def record(self, kind, event):
        self.history.append((self.revision, kind, event, now()))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                self.calls += 1
                await asyncio.sleep(self.latency_s)
                writer.write(await self.answer(method, target, body))
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(field.split("=", 1) for field in text.split("&") if "=" in field)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method == "GET" and not name and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and not name:
            after = query.get("sinceRev", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            return whole(200, self.page(kind, names))
        if method == "GET":
            if (kind, name) in self.objects:
                return whole(200, self.document(kind, name))
            return whole(404, {})
        if method == "DELETE":
            if (kind, name) not in self.objects:
                return whole(404, {})
            expected = query.get("revision")
            if expected and int(expected) != self.objects[kind, name][0]:
                return whole(409, self.document(kind, name))
            await self.remove(kind, name)
            return whole(200, {})
        document = json.loads(body)
        if method == "POST":
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return whole(409, self.document(kind, name))
        else:
            if (kind, name) not in self.objects:
                return whole(404, {})
            expected = document["metadata"].get("revision")
            if expected is not None and expected != self.objects[kind, name][0]:
                return whole(409, self.document(kind, name))
        await self.put(kind, name, document["spec"])
        return whole(200, self.document(kind, name))

    def page(self, kind, names):
        """Returns about 500 objects or 1 MB of them."""
        items, size = [], 0
        for name in names[:500]:
            items.append(self.document(kind, name))
            size += len(json.dumps(items[-1]["spec"]))
            if size >= 1_000_000:
                break
        return {"items": items, "hasMore": len(items) < len(names), "asOf": self.revision}

    def is_gone(self, revision):
        """Returns whether a change after this revision is older than the history."""
        while self.history and self.history[0][3] < now() - HISTORY_S:
            self.forgotten = self.history.pop(0)[0]
        return revision < self.forgotten

    async def watch(self, kind, revision, wait_ms):
        if self.is_gone(revision):
            return whole(410, {})

        def events():
            return [e for r, k, e, _ in self.history if k == kind and r > revision]

        async def changed():
            async with self.changed:
                await self.changed.wait_for(events)

        if not events() and wait_ms:
            try:
                await asyncio.wait_for(changed(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        return whole(200, {"events": events(), "asOf": self.revision})


class Server:
    """A backend server: model streams below /stream/, plain work elsewhere."""

    def __init__(self, store, zone, service="lm"):
        self.store, self.zone, self.service = store, zone, service
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.born_ms = int(time.time() * 1000)
        self.runs = []
        self.beats = 0
        self.state = "ready"
        self.channels = set()
        self.running = 0
        self.event_s = 0.02
        self.work_s = 0.03

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.task = asyncio.create_task(self.beats_on())
        return self

    async def beat(self):
        self.beats += 1
        await self.store.put("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 64, "state": self.state, "coldRemainingMs": 0,
            "born": self.born_ms, "sequence": self.beats})

    async def beats_on(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def exit(self):
        """Ends the process: its listener and all its channels."""
        self.task.cancel()
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        await self.store.remove("servers", self.id)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.answer(first, headers, body, writer):
                    return
        except (Closed, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def answer(self, first, headers, body, writer):
        method, target, _ = first.split(" ", 2)
        if target == "/report":
            writer.write(whole(200, {"born": self.born_ms, "waiting": 0, "running": self.running}))
            return True
        if headers.get("peridotrack-expect-instance", self.id) != self.id:
            writer.write(whole(421, b"", [("Peridotrack-Instance-Id", self.id)]))
            return True
        run = {"id": headers.get("peridotrack-request-id"), "at": now(), "server": self.id,
               "path": target, "tenant": headers.get("peridotrack-tenant-id"), "tokens": 0,
               "is_done": False}
        self.runs.append(run)
        common = [("Peridotrack-Request-Id", run["id"]), ("Peridotrack-Response-Seal", "seal." + self.id),
                  ("Peridotrack-Server-Load", f"{self.running},0,64")]
        self.running += 1
        try:
            if not target.startswith("/stream/"):
                await asyncio.sleep(self.work_s)
                writer.write(whole(200, b"done " + run["id"].encode(), common))
                await writer.drain()
                run["is_done"] = True
                return True
            return await self.stream(run, headers, common, writer)
        finally:
            self.running -= 1

    async def stream(self, run, headers, common, writer):
        prompt, output = map(int, headers["peridotrack-token-usage"].split(","))
        run["tokens"] = prompt
        writer.write(head(200, [*common, ("Content-Type", "text/event-stream"),
                                ("Transfer-Encoding", "chunked")]))
        first = int(headers.get("last-event-id", "-1")) + 1
        for number in range(first, output // 5):
            event = f"id: {number}\ndata: {run['id']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise Closed()
            run["tokens"] += 5
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def route(name, prefix, kind, timeout_ms, **more):
    return {"name": name, "host": "a.example", "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 1, "service": "lm",
            "maxAttempts": 2, "authExempt": False, "sessionAffinity": False, "streamResume": False,
            "gapAimMs": 400, **more}


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, folder, number, zone, zones, store_port, seeds, extra_env=None):
        self.name, self.zone = f"front-{zone}-{number}", zone
        self.ip = fresh_ip()
        self.zones, self.store_port, self.seeds = zones, store_port, seeds
        self.settings = os.path.join(folder, self.name + ".toml")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.env = extra_env or {}
        self.process = None
        self.started = 0.0

    def write_settings(self):
        seeds = ",".join(f'"{ip}:8229"' for ip in self.seeds)
        regions = "\n".join(f'{zone} = "r"' for zone in self.zones)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""nodeName = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
internalPorts = [7340,7355]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{regions}
[listen]
front = "{self.ip}:8227"
ready = "{self.ip}:8220"
control = "{self.ip}:8229"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
[platform]
address = "127.0.0.1:{self.store_port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
""")

    def start(self):
        self.write_settings()
        env = {"PATH": os.environ.get("PATH", ""), "PERIDOTRACK_SETTINGS": self.settings, **self.env}
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.started = now()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        answer = await fetch(self.ip, 8220, "GET", "/readiness", {}, limit_s=1.0)
        return answer["status"] == 200


def fresh_ip():
    while True:
        ip = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        try:
            for port in (8227, 8220, 8229, 7340):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


async def fetch(ip, port, method, path, headers, body=b"", limit_s=15.0):
    """Sends one request on a new channel; returns status, headers, body and whether it is whole."""
    result = {"status": 0, "headers": {}, "body": b"", "whole": False, "sent": False}

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [("Host", "a.example"), *headers.items()]
            if method != "GET":
                lines.append(("Content-Length", len(body)))
            text = f"{method} {path} HTTP/1.1\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in lines) + "\r\n"
            writer.write(text.encode("latin-1") + body)
            await writer.drain()
            result["sent"] = True
            first, answered = await read_head(reader)
            result["headers"] = answered
            result["status"] = int(first.split(" ")[1])
            if answered.get("transfer-encoding", "").lower() == "chunked":
                while chunk := await read_chunk(reader):
                    result["body"] += chunk
            else:
                result["body"] = await read_body(reader, answered)
            result["whole"] = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except (Closed, OSError, asyncio.TimeoutError):
        pass
    return result


class Fleet:
    """Everything that a script starts; ends all of it on exit."""

    def __init__(self, folder):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="peridotrack-review-")
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.gateways, self.servers, self.requests = [], [], []

    def note(self, text):
        line = f"{now():8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def detail(self, text):
        self.record.write(f"{now():8.3f} {text}\n")

    async def start(self, config, zones, servers, gateways):
        self.store = await Store().start()
        await self.store.put("config", "main", config)
        for number in range(servers):
            self.servers.append(await Server(self.store, zones[number % len(zones)]).start())
        for number in range(gateways):
            zone = zones[number % len(zones)]
            self.gateways.append(Gateway(self.temporary, number + 1, zone, zones, self.store.port, []))
        seeds = [gateway.ip for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds
            gateway.start()
        await self.all_ready()

    async def all_ready(self, limit_s=15.0):
        until = now() + limit_s
        while now() < until:
            ready = [await gateway.is_ready() for gateway in self.gateways]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways are not ready")

    def end(self):
        for gateway in self.gateways:
            gateway.kill()
            gateway.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def main(folder, case):
    """Runs a case: `await case(fleet)` returns whether the rule held."""

    async def run():
        fleet = Fleet(folder)
        try:
            held = await asyncio.wait_for(case(fleet), 115)
            fleet.note("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as error:  # The case could not run.
            fleet.note(f"the case could not run: {type(error).__name__} {error}")
            return 2
        finally:
            fleet.end()

    sys.exit(asyncio.run(run()))

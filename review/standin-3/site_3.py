"""A small platform on loopback addresses for the cases of review 3: the store,
executors, clients, and the gd-fleet processes under test. One thread; no
dependency beside Python's standard library."""
import asyncio, base64, json, os, re, shutil, signal, socket, subprocess
import sys, tempfile, time, urllib.parse, zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/gd-fleet"  # `run` of deploy/system.toml
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STATUS = {200: "OK", 409: "Conflict", 412: "Precondition Failed",
          421: "Misdirected Request", 503: "Service Unavailable", 404: "Not Found"}


def now():
    return time.monotonic()


def free_ports(n):
    socks = [socket.socket() for _ in range(n)]
    for s in socks:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP message; None at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. The handler returns (status, JSON body), or None for
    no answer at all."""

    def __init__(self, port, handler):
        self.port, self.handler, self.writers, self.server = port, handler, set(), None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        """As when a process ends: the port refuses, open connections are reset."""
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handler(method, url.path, query, headers,
                                            json.loads(body) if body else {})
                if answer is None:
                    continue
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s" %
                             (answer[0], STATUS.get(answer[0], "-").encode(), len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store. Each VM reaches it at a port of its own, so that it
    can turn single VMs away (503) and serve the others."""

    def __init__(self, lab, ports):
        self.lab, self.rows, self.version = lab, {}, 0
        self.changed = asyncio.Condition()
        self.turned_away = set()  # VM numbers
        self.last_writer = None  # VM that wrote last under a condition
        self.servers = [Server(p, self.handler_of(vm)) for vm, p in enumerate(ports)]

    def handler_of(self, vm):
        async def handle(method, path, query, headers, body):
            if vm in self.turned_away:
                return 503, {}
            if path == "/v1/rows-tx":
                return await self.commit(vm, body)
            if path == "/v1/rows-get":
                return 200, self.get(query)
            if path == "/v1/rows-feed":
                answer = await self.feed(query)
                return (503, {}) if vm in self.turned_away else (200, answer)
            return 404, {}
        return handle

    def answer(self, rows, more=False):
        return {"rows": rows, "has_more": more, "ver": self.version,
                "now_ms": int(now() * 1000)}

    def show(self, name):
        value, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        row.update({"deleted": True} if value is None else {"value": value})
        return row

    def version_of(self, name):
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    async def write(self, sets, removes):
        self.version += 1
        for name, value in sets:
            self.rows[name] = (value, self.version)
        for name in removes:
            if self.version_of(name):
                self.rows[name] = (None, self.version)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        """A write of the operator or of an executor; None removes the row."""
        name = (table, "", key)
        if value is None:
            await self.write([], [name])
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            await self.write([(name, text)], [])

    async def commit(self, vm, body):
        name = lambda r: (r["table"], r["part"], r["key"])
        await asyncio.sleep(0.008)  # txn_ms
        expected = body.get("expected_rev", [])
        if any(self.version_of(name(r)) != r["ver"] for r in expected):
            return 412, self.answer([self.show(name(r)) for r in expected
                                     if self.version_of(name(r))])
        if any(r["ver"] for r in expected):
            self.last_writer = vm
        await self.write([(name(r), r["value"]) for r in body.get("set_keys", [])],
                         [name(r) for r in body.get("remove", [])])
        return 200, self.answer([])

    def get(self, query):
        limit = int(query.get("limit", 500))
        names = sorted(n for n, (value, _) in self.rows.items()
                       if value is not None and n[0] == query["table"]
                       and n[1] == query.get("part", "")
                       and n[2] >= query.get("from", "")
                       and ("target" not in query or n[2] < query["target"]))
        return self.answer([self.show(n) for n in names[:limit]], len(names) > limit)

    async def feed(self, query):
        after, end = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            names = [n for n, (_, version) in self.rows.items()
                     if n[0] == query["table"] and version > after]
            if names or now() >= end:
                names.sort(key=lambda n: self.rows[n][1])
                return self.answer([self.show(n) for n in names])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass


class Run:
    def __init__(self, task, attempt, length_s):
        self.task, self.attempt, self.began, self.length_s = task, attempt, now(), length_s


class Executor:
    """One machine and the executor on it. `clock_ahead_s`: how much its time of
    day is ahead."""

    def __init__(self, lab, number, port, zone, labels):
        self.lab, self.id, self.zone, self.labels = lab, "x%d" % number, zone, labels
        self.machine, self.cpu, self.mem_mb = "m%d" % number, 32000, 125000
        self.server = Server(port, self.handle)
        self.clock_ahead_s, self.up, self.down_since = 0.0, False, 0.0
        self.beat = 0

    def clock_ms(self):
        return int((now() - self.started) * 1000) + 1000

    async def start(self):
        self.started, self.born = now(), int((time.time() + self.clock_ahead_s) * 1000)
        self.fence = self.lease_end = self.n_ends = self.beat = 0
        self.runs, self.ends, self.last_ended = {}, [], {}
        self.news = asyncio.Event()
        self.up = True
        await self.server.start()
        self.lab.note("executor %s is up, born=%d", self.id, self.born)
        await self.report()

    async def crash(self):
        self.up, self.down_since = False, now()
        for run in self.runs.values():
            self.lab.note("run lost with its executor: %s#%d at %s", run.task, run.attempt, self.id)
        self.runs = {}
        await self.server.stop()
        self.lab.note("executor %s crashed", self.id)

    async def report(self):
        self.beat += 1
        await self.lab.store.put("servers", self.id, {
            "service": "pool", "addr": "127.0.0.1:%d" % self.server.port,
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_left_ms": 0, "machine": self.machine, "seq": self.beat,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels, "born": self.born})

    async def tick(self):
        if not self.up:
            return
        lapsed = self.clock_ms() > self.lease_end
        for run in list(self.runs.values()):
            if lapsed:
                self.end(run, "lapsed")
            elif run.length_s and now() >= run.began + run.length_s:
                self.end(run, "done")

    def end(self, run, how):
        self.n_ends += 1
        del self.runs[run.task]
        self.last_ended[run.task] = max(run.attempt, self.last_ended.get(run.task, 0))
        self.ends.append([self.n_ends, run.task, run.attempt, how, ""])
        self.lab.note("end %s#%d at %s: %s", run.task, run.attempt, self.id, how)
        self.lab.ended(run.task, run.attempt, self.id, how)
        self.news.set()

    def reply(self, status, **more):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **more}

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance") != self.id:
            return self.reply(421)
        if body.get("fence_token", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fence_token", 0)
        until = min(body.get("until_ms", 0), self.clock_ms() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, until)
        call = {"/v1/run-start": self.run_start, "/v1/run-stop": self.run_stop,
                "/v1/hold": self.hold}.get(path)
        return await call(body) if call else self.reply(200)

    async def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if attempt <= self.last_ended.get(task, 0) or (run and attempt < run.attempt):
            return self.reply(409, reason="old")
        if self.clock_ms() >= self.lease_end:
            return self.reply(409, reason="late")
        if run and run.attempt == attempt:
            return self.reply(200)
        cpu, mem_mb = self.lab.size_of(task)
        used = [self.lab.size_of(t) for t in self.runs]
        if cpu + sum(u[0] for u in used) > self.cpu or mem_mb + sum(u[1] for u in used) > self.mem_mb:
            return self.reply(409, reason="room")
        self.runs[task] = Run(task, attempt, self.lab.length_of(task, body["spec"]))
        self.lab.note("start %s#%d at %s, fence_token=%d", task, attempt, self.id, self.fence)
        self.lab.started(task, attempt, self.id)
        return self.reply(200)

    async def run_stop(self, body):
        run = self.runs.get(body["task"])
        if run and run.attempt == body["attempt"]:
            self.end(run, "stopped")
        else:
            self.last_ended[body["task"]] = max(body["attempt"],
                                                self.last_ended.get(body["task"], 0))
        return self.reply(200)

    async def hold(self, body):
        ack, until = body.get("ack_seq", 0), now() + min(body.get("wait_ms", 0), 2000) / 1000
        for end in [e for e in self.ends if e[0] <= ack]:
            self.ends.remove(end)
            self.lab.note("taken note of: %s#%d at %s: %s", end[1], end[2], self.id, end[3])
            self.lab.noted(end[1], end[2], self.id, end[3])
        while not self.ends and now() < until:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        active = []
        for r in self.runs.values():
            percent = min(100, int((now() - r.began) * 100 / r.length_s)) if r.length_s else 100
            active.append([r.task, r.attempt, "", percent, 1000])
        return self.reply(200, active=active, finished=self.ends[:500])


class Lab:
    """Starts everything, and notes what happens. Cases use it as a context."""

    def __init__(self, record, vms=3, labels=None, executors=10, late=(),
                 sizes=((0.25, 260),)):
        """`labels` gives each executor's kind and rack; those in `late` are
        started by the case. `sizes` are the VMs' cores and memory in MB."""
        self.record, self.began = open(record, "w", buffering=1), now()
        self.dir = tempfile.mkdtemp(prefix="review-3-")
        self.jobs, self.events, self.processes, self.late = {}, [], {}, late
        self.sizes = sizes
        ports = free_ports(vms * 5 + executors)
        self.vm_ports = [ports[i * 5:i * 5 + 5] for i in range(vms)]
        self.store = Store(self, [p[4] for p in self.vm_ports])
        labels = labels or (lambda i: ["a", "r%d" % (i // 8)])
        self.executors = [Executor(self, i, ports[vms * 5 + i], "z%d" % (i % 3), labels(i))
                          for i in range(executors)]

    def note(self, text, *args):
        self.record.write("%8.3f %s\n" % (now() - self.began, text % args if args else text))

    # What executors report to the case: (kind, time, task, attempt, executor, how).
    def started(self, task, attempt, where):
        self.events.append(("start", now(), task, attempt, where, ""))

    def ended(self, task, attempt, where, how):
        self.events.append(("end", now(), task, attempt, where, how))

    def noted(self, task, attempt, where, how):
        self.events.append(("noted", now(), task, attempt, where, how))

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def size_of(self, task):
        step = self.step_of(task)
        return step["cpu"], step["mem_mb"]

    def length_of(self, task, spec):
        """A task takes as long as its spec says, "ms=LOW..HIGH", each its own
        time between these; tasks that last never end by themselves."""
        if self.step_of(task).get("long_running"):
            return 0
        low, high = map(int, re.match(r"ms=(\d+)\.\.(\d+)", spec).groups())
        return (low + zlib.crc32(task.encode()) % (high - low + 1)) / 1000

    async def __aenter__(self):
        for server in self.store.servers:
            await server.start()
        await self.store.put("op", "config", {
            "version": 1, "limits": {"max_body_bytes": 262144},
            "services": [{"name": "pool", "enforces_capacity": True, "health_path": "/h"}],
            "routes": [self.route("queue", "/q/")]})
        self.ticker = asyncio.ensure_future(self.tick())
        for i, e in enumerate(self.executors):
            if i not in self.late:
                await e.start()
        for vm in range(len(self.vm_ports)):
            self.start_vm(vm)
        await self.until(lambda: self.store.last_writer is not None, 10, "no owner came up")
        await asyncio.sleep(2)
        return self

    async def __aexit__(self, *args):
        self.ticker.cancel()
        # Connections that are open end with the processes.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for p in self.processes.values():
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.dir)

    def route(self, name, prefix):
        return {"name": name, "host": "jobs.example", "prefix": prefix, "service": "pool",
                "prio": 0, "attempts": 4, "slack_factor": 3.0, "aim_ms": 1000}

    async def tick(self):
        beat = now()
        while True:
            await asyncio.sleep(0.005)
            for e in self.executors:
                await e.tick()
            if now() < beat:
                continue
            beat = now() + HEARTBEAT_S
            for e in self.executors:
                if e.up:
                    await e.report()
                elif e.down_since and now() - e.down_since > 3 * HEARTBEAT_S:
                    e.down_since = 0
                    await self.store.put("servers", e.id, None)

    def start_vm(self, vm):
        front, ready, control, relay, store = self.vm_ports[vm]
        cores, memory_mb = self.sizes[vm % len(self.sizes)]
        path = "%s/vm%d.conf" % (self.dir, vm)
        with open(path, "w") as f:
            f.write("node=vm%d\nrole=fleet\nclass=edge\nzone=z%d\nregion=r\n"
                    "listen.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\n"
                    "listen.control=127.0.0.1:%d\nport_range=%d,%d\n"
                    "platform.addr=127.0.0.1:%d\nplatform.row_bytes=65536\n"
                    "limits.cpu_share=%g\nlimits.memory_mb=%d\nlimits.max_fds=4100\n"
                    "limits.link_mbps=1000.0\nadvisor=\ncloud.addr=\n"
                    "bounds.grace_s=6\nbounds.hold_max_ms=%d\nbounds.stop_timeout_ms=200\n"
                    "bounds.apply_ms=3000\nbounds.lease_ms=3000\nbounds.status_s=120\n"
                    % (vm, vm, front, ready, control, relay, relay, store, cores, memory_mb,
                       HOLD_MAX_MS))
        self.processes[vm] = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=open("%s/vm%d.log" % (self.dir, vm), "a"), stderr=subprocess.STDOUT,
            env={"GODWITDRUM_BOOT": path, "PATH": os.environ["PATH"]})

    async def until(self, condition, limit_s, otherwise):
        end = now() + limit_s
        while not condition():
            if now() > end:
                raise CannotRun(otherwise)
            await asyncio.sleep(0.02)

    async def call(self, vm, method, path, body=None):
        """A client's request; returns (status, body), status 0 without answer."""
        text = json.dumps(body).encode() if body is not None else b""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.vm_ports[vm][0])
            writer.write(b"%s %s HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 3000\r\n"
                         b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (method.encode(), path.encode(), len(text), text))
            line, _, answer = await asyncio.wait_for(read_message(reader), 3)
            writer.close()
            result = int(line.split()[1]), json.loads(answer)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            result = 0, {}
        self.note("client: %s %s at vm%d -> %d %s", method, path, vm, *result)
        return result

    async def submit(self, job, body, path="/q/"):
        """Hands a job in, at one VM after the other until it is accepted."""
        self.jobs[job] = body
        for attempt in range(5):
            vm = attempt % len(self.vm_ports)
            status, _ = await self.call(vm, "POST", path + job, body)
            if status == 200:
                return
            await asyncio.sleep(1)
        raise CannotRun("the job was not accepted")

    async def state(self, job, path="/q/"):
        """Asks one VM after the other until one answers; '' if none does."""
        for vm in range(len(self.vm_ports)):
            status, answer = await self.call(vm, "GET", path + job)
            if status in (200, 410):
                return answer.get("state", "410")
        return ""


class CannotRun(Exception):
    pass


def main(case, folder):
    """Runs the case's coroutine(lab record path, trouble) and exits: 1 if the
    rule was broken, 0 if it held, 2 if the case couldn't run."""
    os.chdir(ROOT)
    record = os.path.join(folder, "record.txt")
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(PROGRAM + " is not built")
        broken = asyncio.run(asyncio.wait_for(
            case(record, os.environ.get("TROUBLE") != "0"), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        print("the case could not run: %s" % (e or "it took too long"))
        sys.exit(2)
    with open(record, "a") as f:
        f.write("result: %s\n" % (broken or "the rule held"))
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)

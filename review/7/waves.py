"""Waves of orders of which some clients leave; see claim.txt. Usage: waves.py SECONDS LEAVE_SHARE RECORD"""
import sys
from fleet import *
SECONDS, LEAVE = float(sys.argv[1]), float(sys.argv[2])
RECORD = open(sys.argv[3], "w")
GATES, WAITING = 3, 62
R = random.Random(1)
KEYS = [KEY[:-2] + "%02d" % k for k in range(1, 9)]


def note(*words):
    print("%.3f" % time.time(), *words, file=RECORD, flush=True)


async def main():
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    f = Fleet(net=random.SystemRandom().randrange(20, 220))
    count, ended, lost = collections.Counter(), [], 0

    def is_over():
        return lost > 3 or len(ended) == GATES or now() >= end

    try:
        f.config(services=tuple("svc-%d" % k for k in range(GATES)) + ("orders",),
                 tenants=[dict(name="tenant-%d" % k, api_keys=[key], priority=1, rate_per_s=0, burst=0)
                          for k, key in enumerate(KEYS)], timeout=8)
        # Nodes 1 to 3 stand beside the upstream of a service of its own, node 4 beside that of the orders.
        await f.start([("z" + "abc"[k], "svc-%d" % k) for k in range(GATES)] + [("za", "orders")])
        busy_until = [0] * GATES
        for g, u in enumerate(f.ups[:GATES]):
            async def work(s, r, w, meth, path, hs, body, rid, g=g):
                await asyncio.sleep(max(0, busy_until[g] - now()) if path.endswith("scan") else 0.0005)
            u.behave = work
        orders = f.ups[GATES]
        orders.slots, orders.work = 40, 1.0
        await asyncio.sleep(5)  # all machines are in touch: stable_s is 3
        end = now() + SECONDS

        def message(g, kind, tail, limit):
            return (f"POST /svc-{g}/{kind}/{tail} HTTP/1.1\r\nHost: h.example\r\nJasminebank-Request-Id: {rid()}\r\n"
                    f"Jasminebank-Deadline-Ms: {limit}\r\nAuthorization: Bearer {R.choice(KEYS)}\r\n"
                    "Content-Length: 1\r\n\r\nx").encode()

        async def settle(g, n):
            c = Client(n)
            for _ in range(8):
                try:
                    if c.w is None:
                        await c.open()
                    c.w.write(message(g, "unsafe", "quick", 2000))
                    m = await asyncio.wait_for(Http.read_msg(c.r), 2)
                    await Http.body(c.r, m[1])
                    if Http.get(m[1], "connection") == "close":
                        c.w.close()
                        c.w = None
                except Exception:
                    c.w = None
            if c.w:
                c.w.close()

        async def waves(g):
            await asyncio.sleep(3.5)  # each order's connection is a kept one by then
            while not is_over():
                try:
                    await asyncio.gather(*[settle(g, f.nodes[k % GATES]) for k in range(9)])
                    connections = []
                    for k in range(WAITING + 4):
                        c = Client(f.nodes[k % GATES])
                        await c.open()
                        connections.append(c)
                    start = now()
                    busy_until[g] = start + 0.306 + R.uniform(0, 0.012)
                    for c in connections[:4]:
                        c.w.write(message(g, "upload", "scan", 2000))
                    await asyncio.sleep(0.01)
                    for c in connections[4:]:
                        c.w.write(message(g, "unsafe", "x", R.randrange(414, 428)))
                    await asyncio.sleep(max(0, start + 0.15 - now()))
                    for c in connections[4:]:
                        if R.random() < LEAVE:
                            c.w.transport.abort()
                            count["clients that left"] += 1
                    await asyncio.sleep(0.25)
                    for c in connections:
                        c.w.transport.abort()
                    count["waves"] += 1
                except OSError:
                    await asyncio.sleep(0.2)

        async def order(n, k):
            nonlocal lost
            c = Client(n)
            await asyncio.sleep(k / 6)  # the orders of one node are in different phases
            while not is_over():
                i = rid()
                kept = c.w is not None
                note("sent", i, "node", n.n, "on a kept connection" if kept else "on a new connection")
                status, _, _ = await c.req("POST", "/orders/unsafe/x", i, b"order", key=KEYS[0])
                note("got" if status != "closed" else "closed without an answer", i, status, "runs", orders.runs[i])
                if status == 200:
                    count["orders answered"] += 1
                if status == "closed":
                    lost += kept and orders.runs[i] > 0
                    return

        async def watch():
            while not is_over():
                for n in f.nodes:
                    if n not in ended and n.p.poll() is not None:
                        ended.append(n)
                        text = open(n.logf, errors="replace").read()
                        note("the process of node", n.n, "has ended by itself, status", n.p.returncode,
                             text[text.find("terminate"):][:120].replace("\n", " "))
                await asyncio.sleep(0.05)

        await asyncio.gather(watch(), *[waves(g) for g in range(GATES)],
                             *[order(n, k) for n in f.nodes[:GATES] for k in range(6)])
    finally:
        f.stop()
    note(dict(count))
    note(lost, "orders ran, and their kept connections closed without an answer (LOST: more than 3)")
    note("rule broken:", int(lost > 3))
    return 1 if lost > 3 else 0 if count["orders answered"] >= 50 and count["waves"] >= 10 else 2


sys.exit(asyncio.run(main()))

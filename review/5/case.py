import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")  # what was sent, answered and run
sys.path.insert(0, os.path.dirname(HERE))
from stand_2 import Machine, call, config, now_ms, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANCEL_MS = 3000  # `cancel_ms` of the deployment
CONTACT_MS = 3000  # `contact_ms`
LOST_S, LOST_SHARE = 4.5, 0.35  # the site's largest dose of `platform_lost`
LATE_S = (1.0, 6.0)  # "may be done seconds later": 1 to 6 s, as on the bench


async def main(world):
    random.seed(int(os.environ.get("SEED", "1")))
    say = world.record.say
    world.machines = [Machine(f"m-{n:02d}", "watch", f"hall-{'abcd'[n % 4]}", 64000, 262144, ["a", f"r1-{n // 4}"])
                      for n in range(8)]
    await world.begin(3, config(1, [("r-watch", "/watch/", "watch", 4)], [("watch", True, False)]))
    await world.wait_ready()
    await asyncio.sleep(3)
    sent, answers, acked = {}, {}, {}

    async def client(job):
        """Hands in a standing job, and takes it back: at once if it got no answer or 504, else after a second."""
        body = {"spec": "2000 fails", "steps": [{"count": 1, "cpu": 300, "mem_mb": 200, "long_running": True}]}
        world.jobs[job] = body
        sent[job] = now_ms()
        entry = random.choice(world.entries)
        status, why = await call(entry.front, "POST", f"/watch/{job}", "jobs.example", body, 3.0)
        answers[job] = status
        say(f"POST {job} at {entry.name}: {status or why}")
        if status == 200:
            await asyncio.sleep(1.0)
        elif status in (429, 503):
            return
        for _ in range(40):
            entry = random.choice(world.entries)
            status, why = await call(entry.front, "DELETE", f"/watch/{job}", "jobs.example", None, 3.0)
            say(f"DELETE {job} at {entry.name}: {status or why}")
            if status in (200, 410):
                acked[job] = (now_ms(), status)
                return
            await asyncio.sleep(0.3)

    # Tasks that last "may fail at any time": here after 2 s. However they end, they are to be started again.
    start_run = world.on_start

    def fails(minion, task, number, body, used, need):
        start_run(minion, task, number, body, used, need)
        asyncio.get_running_loop().call_soon(lambda: minion.running[task].update(how="failed"))
    world.on_start = fails

    begin = now_ms()
    lost_from, lost_until = begin + 2000, begin + 2000 + LOST_S * 1000
    lost = [0]

    def fate(body):
        if TROUBLE and lost_from <= now_ms() < lost_until and random.random() < LOST_SHARE:
            lost[0] += 1
            return random.uniform(*LATE_S)
        return None
    world.store.fate = fate
    say(f"the store loses answers from {lost_from / 1000:.3f} to {lost_until / 1000:.3f}" if TROUBLE else "no disruption")
    clients = []
    while now_ms() < lost_until + 500:
        clients.append(asyncio.create_task(client(f"{random.getrandbits(64):016x}")))
        await asyncio.sleep(random.expovariate(40.0))
    await asyncio.wait(clients, timeout=30)
    # The core counts as stable `contact_ms` after the last lost answer, and machines are in touch `contact_ms` later.
    calm_ms = lost_until + 2 * CONTACT_MS
    await asyncio.sleep(max(0.0, (calm_ms - now_ms()) / 1000.0) + 12.0)
    bad = {}
    for at, minion, task, number in world.starts:
        job = task[:16]
        if job in acked and at > acked[job][0] + CANCEL_MS and at > calm_ms:
            bad.setdefault(job, []).append((at, minion, task, number))
    running = {task[:16] for m in world.machines for task in m.minion.running}
    for job, starts in bad.items():
        ack, status = acked[job]
        at, minion, task, number = starts[-1]
        say(f"UNASKED {job}: POST answered {answers[job]}, DELETE answered {status} at {ack / 1000:.3f}; {len(starts)} "
            f"starts more than {CANCEL_MS} ms later, the last is run {number} on {minion} at {at / 1000:.3f}; "
            f"{'it still runs' if job in running else 'it has ended'}")
    say(f"{len(sent)} jobs sent, {lost[0]} answers of the store lost, {sum(a == 200 for a in answers.values())} accepted, "
        f"{sum(a == 504 for a in answers.values())} answered 504, {len(acked)} cancels acknowledged, started all the "
        f"same: {len(bad)}")
    print(f"sent {len(sent)}, 504: {sum(a == 504 for a in answers.values())}, acknowledged {len(acked)} "
          f"(410: {sum(s == 410 for _, s in acked.values())}), started later: {len(bad)}")
    return bool(bad)


run(main, RECORD)

"""A timed job with a backlog; the store turns the scheduling machine away."""
import asyncio, os, sys, time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
from site_3 import Lab, main, now

JOB = "5c0e7a21d94b36f8"
TIMES = 400
AWAY_S = 7.0


def broken_by(events):
    """TWICE: a start after a run of the task has ended `done`, if that end is
    taken note of then or later."""
    noted = {(task, run) for kind, _, task, run, _, how in events
             if kind == "noted" and how == "done"}
    done, twice = {}, []
    for kind, _, task, run, where, how in events:
        if kind == "end" and how == "done" and (task, run) in noted:
            done.setdefault(task, "run %d at %s" % (run, where))
        if kind == "start" and task in done:
            twice.append("%s: %s ended done, then run %d was started at %s"
                         % (task, done[task], run, where))
    return twice


async def case(record, trouble):
    async with Lab(record) as lab:
        body = {"spec": "ms=500..1500", "times": TIMES, "interval_ms": 1000,
                "start_ms": int(time.time() * 1000) - TIMES * 1000,
                "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}]}
        await lab.submit(JOB, body)
        await asyncio.sleep(1.5)
        owner = lab.store.last_writer
        if trouble:
            lab.store.turned_away.add(owner)
            lab.note("the store turns vm%d away (503), which wrote last", owner)
        await asyncio.sleep(AWAY_S)
        lab.store.turned_away.clear()
        if trouble:
            lab.note("the store serves vm%d again", owner)
        end = now() + 40
        while now() < end and await lab.state(JOB) != "done":
            await asyncio.sleep(1)
        await asyncio.sleep(3)
        twice = broken_by(lab.events)
        for text in twice:
            lab.note("TWICE %s", text)
        return twice and "TWICE is broken by %d of %d tasks; the first: %s" % (
            len(twice), TIMES, twice[0])


main(case, FOLDER)

"""A packet filter refuses the connections of one follower to the leader; the other direction stays open."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from web import Balancer, Client  # noqa: E402
from world import World, job_path, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WINDOW_S = 90.0  # the rule: for 90 s every poll for it fails
USERS = 12


class Poller:
    """A user on one connection through the load balancer; it stays open, as the page says."""

    def __init__(self, world, balancer, spec):
        self.world, self.spec, self.id = world, spec, spec["nameId"]
        self.client = Client(balancer.port)
        self.polls = []  # (sent at, answered)
        self.accepted_at = None

    async def submit(self):
        for _ in range(20):
            answer = await self.client.call("POST", "/work", self.spec, timeout=5.0)
            self.world.log("user", "%s submit: %s" % (self.id, answer and answer[:2]))
            if answer is not None and answer[0] in (200, 201):
                self.accepted_at = now()
                return True
            await asyncio.sleep(1.0)
        return False

    async def live(self):
        while True:
            sent = now()
            answer = await self.client.call("GET", job_path(self.id), timeout=2.0)
            self.polls.append((sent, answer is not None and answer[0] in (200, 404)))
            self.world.log("user", "%s poll: %s" % (self.id, answer and answer[:2]))
            await asyncio.sleep(5.0)


def longest_failure(polls):
    """(length, from, until) of the longest run of polls that all fail, from the last good one before it."""
    best = (0.0, 0.0, 0.0)
    since = None
    for at, good in polls:
        if good:
            since = at
        elif since is not None and at - since > best[0]:
            best = (at - since, since, at)
    return best


async def main():
    world = World(HERE / "record.txt", mesh_proxies=True)
    balancer = None
    try:
        await world.start()
        for i in range(6):
            world.cloud.add("depot-box", "caboolture" if i % 2 else "redcliffe", False, boot=0.1)
        leader = await world.leader()
        if leader is None:
            return 2
        follower = next(n for n in world.nodes if n is not leader)
        while not all(n.healthy for n in world.nodes):
            await asyncio.sleep(0.1)
        balancer = await Balancer(world.nodes, now).start()
        users = [Poller(world, balancer, world.job(i, 600.0, pieces=1, vcpus=1.0))
                 for i in range(USERS)]
        for user in users:
            if not await user.submit():
                return 2
        world.log("case", "open connections: %s" % {n.label: len(balancer.open[n]) for n in world.nodes})
        for user in users:
            world.spawn(user.live())
        await asyncio.sleep(6.0)
        if TROUBLE:
            world.log("case", "a packet filter refuses connections from %s to %s" % (follower.label, leader.label))
            world.mesh[(follower.index, leader.index)].refuse()
        end = now() + WINDOW_S + 8.0
        while now() < end:
            await asyncio.sleep(1.0)
        world.log("case", "healthy: %s" % {n.label: n.healthy for n in world.nodes})
        broken = []
        for user in users:
            length, since, until = longest_failure(user.polls)
            if length < WINDOW_S:
                continue
            others = [good for u in users if u is not user for at, good in u.polls if since < at <= until]
            if sum(others) * 2 > len(others):
                broken.append(user.id)
                world.broke("forgotten", "%s: every poll failed for %.0f s, while %d of %d other polls were answered" % (
                    user.id, length, sum(others), len(others)))
        print("broken for %d of %d jobs: %s" % (len(broken), USERS, " ".join(broken)))
        return 1 if broken else 0
    finally:
        if balancer:
            balancer.stop()
        world.stop()


run_case(main)

"""The operator's word explored: puts, losses, restarts, wiped disks, late answers, in any order.

A world of a few machines with disks and one without drives the same `Seat` and `Put` as the processes do.  What may
never happen: an entry was acknowledged, and a seat that is sure of that time does not hold it.  The same search has to
find a fault in each mutant of the rules.
"""

import random
import unittest
from unittest import mock

from mapleline.system import archive, seat
from mapleline.system.archive import CONFIG, Entry
from mapleline.system.seat import Put, Seat

CORE = [1, 2, 3, 4]
ALL = [*CORE, 5]
STEPS = 60


class World:
    """Time moves by rules alone; a question and its answer may lie any time apart."""

    def __init__(self):
        self.now, self.version, self.nonce = 10.0, 0, 0
        self.seats = {ip: Seat(ip, ip in CORE, 1, False) for ip in ALL}
        self.disks = {ip: {} for ip in CORE}
        self.started = dict.fromkeys(ALL, 10.0)
        self.wiped = None  # at most as many at once as are to be borne, until they have joined again
        for ip, one in self.seats.items():
            one.load([], CORE if ip in CORE else None)
            one.count(CORE)
        self.puts, self.acknowledged, self.answers = [], [], []

    def time_passes(self, passed):
        self.now += passed

    def put(self, at):
        self.version += 1
        entry = Entry(CONFIG, self.version, "", b"%d" % self.version)
        self.seats[at].word.offer(entry)
        self.puts.append((entry, Put(self.seats[at].quorum(len(CORE))), set()))

    def put_through(self, at, order):
        """To all of the core but the last of an order."""
        self.put(at)
        for ip in order[:3]:
            self.store(len(self.puts) - 1, ip)

    def store(self, nth, ip):
        if not self.puts:
            return
        entry, put, over = self.puts[-1 - nth % len(self.puts)]
        one = self.seats[ip]
        if not one.takes:
            return
        one.word.offer(entry)
        if not one.has_kept(entry):
            self.disks[ip][entry.key] = entry
            one.kept(entry)
        if put.stored(ip, self.now) is None and not over:
            over.add(True)
            self.acknowledged.append((self.now, entry))

    def restart(self, ip):
        core = CORE if ip in CORE and ip != self.wiped else None
        self.seats[ip] = one = Seat(ip, ip in CORE, 1, False)
        one.load(list(self.disks.get(ip, {}).values()), core)
        one.count([ip] if ip in CORE else [])
        self.started[ip] = self.now

    def wipe(self, ip):
        if self.wiped is not None:
            return
        self.wiped, self.disks[ip] = ip, {}
        self.now += 0.6  # FRESH_S: what a restart takes at least
        self.restart(ip)

    def ask(self, ip, to):
        if ip == to:
            return self.seats[ip].ask_self(self.now)
        self.nonce += 1
        self.seats[ip].ask(self.nonce, to, self.now)
        self.answers.append((ip, to, self.nonce, None))

    def ask_some(self, ip, order, others):
        """Of the core, by order, and answered at once."""
        for to in order[:others] or ALL:
            self.ask(ip, to)
            if ip != to:
                self.answer(0)
                self.answer(0)

    def overtaken(self, ip, order, at, by, passed):
        """An entry is acknowledged while answers given before are on their way."""
        out = [to for to in (*order[:2], 5) if to != ip]
        for to in out:
            self.ask(ip, to)
        for n in range(len(out)):
            self.answer(n)
        self.put_through(at, by)
        self.now += passed
        for n in range(len(out)):
            self.answer(n)

    def answer(self, nth):
        """A question reaches its machine, or an answer who asked; either may come twice, or never."""
        if not self.answers:
            return
        at = len(self.answers) - 1 - nth % len(self.answers)
        ip, to, nonce, said = self.answers[at]
        if said is None:
            self.answers[at] = (ip, to, nonce, self.seats[to].answer(self.now, CORE))
            return
        formed, core, marks, age = said
        one = self.seats[ip]
        asked = one.told(nonce, to, formed, core, age < 60)
        if asked is not None:
            for key in one.word.lacks(marks):
                one.word.offer(self.seats[to].word.entries.get(key) or self.newest(key))
            one.agree(to, formed, marks, age if age < 60 else None, asked)

    def newest(self, key):
        """From some other one that has it: who was asked has started anew since."""
        held = [s.word.entries[key] for s in self.seats.values() if key in s.word.entries]
        return max(held, key=lambda entry: entry.stamp, default=Entry(key, -1, "", b""))

    def slow_put(self, at, order):
        """A machine loses its disk, and is back, between two of the others' syncs."""
        first, second, third, last = order
        self.put(at)
        for ip in (first, second):
            self.store(0, ip)
        self.wipe(first)
        self.now += 0.05
        self.ask_some(first, [third, last], 2)
        self.join()
        self.store(0, third)

    def join(self):
        if self.wiped is None:
            return
        one = self.seats[self.wiped]
        if one.may_join(self.started[self.wiped]):
            self.disks[self.wiped] = dict(one.word.entries)
            for entry in one.word.entries.values():
                one.kept(entry)
            one.formed, one.noted, self.wiped = True, CORE, None

    def check(self, seed):
        """Who is sure holds all that was acknowledged, and no acknowledged entry is lost."""
        for ip, one in self.seats.items():
            since = one.lease.since()
            for at, entry in self.acknowledged:
                assert at >= since or one.word.stamp(entry.key) >= entry.stamp, f"{seed}: {ip} is sure, and without it"
        if self.acknowledged:
            entry = max((entry for _, entry in self.acknowledged), key=lambda e: e.stamp)
            held = [ip for ip in CORE if self.disks[ip].get(entry.key, Entry("", -1, "", b"")).stamp >= entry.stamp]
            least = 2 if self.wiped else 3
            assert len([ip for ip in held if ip != self.wiped]) >= least, f"{seed}: too few disks have it"


def walk(seed):
    """One history; raises AssertionError with the seed where a rule is broken."""
    lot, world = random.Random(seed), World()

    def machine():
        return lot.choice(ALL)

    def disk():
        return lot.choice(CORE)

    def order():
        return lot.sample(CORE, len(CORE))

    def pause():
        return lot.choice([0.05, 0.6, 3.0])

    steps = [
        lambda: world.time_passes(pause()), lambda: world.put(machine()), lambda: world.put_through(machine(), order()),
        lambda: world.store(lot.randrange(10), disk()), lambda: world.restart(machine()), lambda: world.wipe(disk()),
        lambda: world.ask(machine(), machine()), lambda: world.ask_some(machine(), order(), lot.randrange(5)),
        lambda: world.overtaken(machine(), order(), machine(), order(), pause()),
        lambda: world.answer(lot.randrange(10)), lambda: world.join(),
        lambda: world.slow_put(machine(), order()),
    ]  # fmt: skip
    for _ in range(STEPS):
        lot.choice(steps)()
        world.check(seed)


def search(histories):
    for seed in range(histories):
        walk(seed)


class TestModel(unittest.TestCase):
    def test_no_history_loses_what_was_acknowledged(self):
        search(2000)

    def test_a_write_quorum_less_one_is_found_out(self):
        with mock.patch.object(seat, "write_quorum", lambda n, losses: archive.write_quorum(n, losses) - 1):
            self.found_out()

    def test_a_read_quorum_less_one_is_found_out(self):
        with mock.patch.object(archive, "read_quorum", lambda n, losses: max(1, n - archive.write_quorum(n, losses))):
            self.found_out()

    def test_an_old_word_of_a_machine_that_was_wiped_since_is_found_out(self):
        with mock.patch.object(seat, "FRESH_S", 1e9):
            self.found_out()

    def test_an_empty_disk_that_counts_at_once_is_found_out(self):
        def load(self, entries, core):
            real(self, entries, core if core is not None else CORE if self.disk else None)

        real = Seat.load
        with mock.patch.object(Seat, "load", load):
            self.found_out()

    def test_a_lease_from_when_the_answer_came_is_found_out(self):
        def agree(self, ip, formed, marks, age, asked):
            return real(self, ip, formed, marks, age, asked + 3.0)

        real = Seat.agree
        with mock.patch.object(Seat, "agree", agree):
            self.found_out()

    def test_an_age_that_counts_from_the_answer_is_found_out(self):
        def relay(self, asked, age):
            real(self, asked + 3.0, age)

        real = archive.Lease.relay
        with mock.patch.object(archive.Lease, "relay", relay):
            self.found_out()

    def found_out(self):
        with self.assertRaises(AssertionError):
            search(3000)

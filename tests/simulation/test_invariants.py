"""The judge on hand-made records: each rule on the control side finds a bad one, and nothing in a good one."""

import unittest

from mapleline.balancer.settings import Bounds
from mapleline.simulation.invariants import REPLACE, Answer, Order, Record, Sent, judge

A, B = "aaaa", "bbbb"
BEGIN, FINISH = "/evacuations/z1/begin", "/evacuations/z1/finish"


class Made:
    """A record with four machines of the core, m1 to m4, in contact from 0 to 60 s unless told otherwise."""

    def __init__(self, apart=(), since=0.0, until=60.0, able=None, formed=None):
        """`apart`: machines without a way to the others in that time; `able`, `formed`: instead of all."""
        self.record = record = Record(Bounds(), {"z1": "r"}, ended=60.0)
        names = {"m1", "m2", "m3", "m4", "m5"}
        for n in range(600):
            at = n / 10
            away = set(apart) if since <= at < until else set()
            record.contact.append((at, names - away))
            core = names - {"m5"} if able is None else able
            record.core.append((at, core - away, core if formed is None else formed))

    def order(self, number, content, at, took=0.1, status=200, path=REPLACE, valid=True, by="m1"):
        order = Order(path, number, content, at, valid)
        end = at + took
        if status is not None:
            self.record.answers.append(Answer(order, by, at, end, status))
        order.over = end
        if status == 200:
            order.acknowledged = end
            if path == REPLACE and valid:
                self.record.acknowledged.append((end, "config", number))
        elif status is not None and status < 500:
            order.refused = status
        self.record.orders.append(order)
        return self

    def read(self, number, content, at, status=200, by="m2"):
        self.record.answers.append(Answer(None, by, at, at + 0.1, status, number, content))
        return self

    def serves(self, number, content, at, by="m3", life=1):
        self.record.versions.append((at, by, life, number, content))
        return self

    def event(self, at, what, name="m4"):
        self.record.events.append((at, name, what))
        return self


class TestJudge(unittest.TestCase):
    def found(self, made):
        return sorted({line.split()[0] for line in judge(made.record)})

    def good(self, *mades):
        for made in mades:
            self.assertEqual(judge(made.record), [])

    def bad(self, rule, *mades):
        for made in mades:
            self.assertEqual(self.found(made), [rule])

    def test_two_contents_under_one_number(self):
        lost = Made().order(7, A, 10.0).order(7, B, 10.0, status=409)
        self.good(
            lost,
            Made().order(7, A, 10.0).order(7, A, 12.0),
            Made().order(7, A, 10.0).order(8, B, 10.0),
            Made().order(7, A, 10.0, status=None).order(7, B, 10.0, status=409),
        )
        self.bad(
            "RIVALS",
            Made().order(7, A, 10.0).order(7, B, 10.0),
            Made().order(7, A, 10.0).order(9, A, 11.0).order(7, B, 12.0),
            Made().order(7, A, 10.0, status=409).order(7, B, 10.0, status=409),
        )

    def test_what_was_acknowledged_is_sent_again(self):
        self.good(
            Made().order(7, A, 10.0).order(7, A, 20.0),
            Made().order(7, A, 10.0).order(7, A, 20.0, status=None),
            Made().order(7, A, 10.0).order(7, A, 20.0, status=503),
            Made().order(-1, "", 10.0, path=BEGIN).order(-1, "", 20.0, path=BEGIN),
        )
        self.bad(
            "AGAIN",
            Made().order(7, A, 10.0).order(7, A, 20.0, status=412),
            Made().order(7, A, 10.0).order(9, B, 12.0).order(7, A, 20.0, status=412),
            Made().order(-1, "", 10.0, path=BEGIN).order(-1, "", 20.0, status=409, path=BEGIN),
        )
        text = judge(Made().order(7, A, 10.0).order(7, A, 20.0, status=412).record)
        self.assertIn("with no other change since", " ".join(text))
        taken = Made().order(7, A, 10.0, status=None).serves(7, A, 11.0).order(7, A, 20.0, status=409)
        self.assertIn("AGAIN", self.found(taken))  # without an answer, but it was taken

    def test_a_proper_one_without_a_rival_is_not_refused(self):
        self.bad("ACKS", Made().order(7, A, 10.0, status=400).order(7, B, 30.0))
        self.assertIn("ACKS", self.found(Made().order(7, A, 10.0, status=409)))

    def test_what_was_refused_is_nowhere_in_force(self):
        lost = Made().order(7, A, 10.0).order(7, B, 10.0, status=409)
        self.good(lost.serves(7, A, 11.0).read(7, A, 11.0))
        self.good(Made().order(7, A, 10.0, status=None).serves(7, A, 10.0))
        self.bad(
            "FORCE",
            Made().order(7, A, 10.0).order(7, B, 10.0, status=409).serves(7, B, 11.0),
            Made().order(7, A, 10.0).order(7, B, 10.0, status=None).serves(7, B, 11.0),
            Made().order(7, A, 10.0).order(7, B, 10.0, status=None).read(7, B, 11.0),
            Made().order(7, A, 10.0, valid=False),
            Made().serves(7, A, 10.0),
            Made().order(7, A, 10.0, status=None).serves(7, A, 9.0),
            Made().order(7, A, 9.0, status=400, valid=False).serves(7, A, 10.0),
        )

    def test_a_read_gives_nothing_older_than_is_known(self):
        self.good(
            Made().order(7, A, 10.0).read(7, A, 10.2),
            Made().order(7, A, 10.0).read(-1, "", 10.05, status=404),
            Made().order(7, A, 10.0).read(-1, "", 20.0, status=503),
            Made().order(7, A, 9.0).order(8, B, 20.0, status=None).read(8, B, 20.0).read(7, A, 20.05),
        )
        self.bad(
            "STALE",
            Made().order(7, A, 9.0).order(8, B, 10.0).read(7, A, 10.2),
            Made().order(7, A, 10.0).read(-1, "", 10.2, status=404),
            Made().order(7, A, 10.0).order(8, B, 20.0, status=None).read(8, B, 20.0).read(7, A, 20.2),
        )
        told = Made().order(7, A, 9.0).order(8, B, 10.0).order(7, A, 12.0)
        told.record.answers[-1].number = 7  # an acknowledgement that says what is in force
        self.bad("STALE", told)

    def test_who_is_out_of_touch_does_not_say_that_something_is_not_there(self):
        away = {"apart": ["m2"], "since": 5.0}
        self.good(
            Made(**away).read(-1, "", 10.0, status=503),
            Made(**away).read(-1, "", 10.0, status=400),
            Made().read(-1, "", 10.0, status=404),
        )
        self.bad("KNOWN", Made(**away).read(-1, "", 10.0, status=404), Made(**away).read(-1, "", 10.0, status=403))
        lately = Made()
        lately.record.troubles.append((8.0, 9.0, "m2"))
        self.bad("KNOWN", lately.read(-1, "", 10.0, status=404))

    def test_a_client_is_not_denied_what_nobody_took_away(self):
        def asks(status, withdrawn):
            made = Made()
            made.record.sent["q"] = Sent("q", "idempotent", "t", "k", "z1", 10.0, status, 10.1)
            made.record.withdrawn.update(withdrawn)
            return made

        self.good(asks(503, {}), asks(401, {"k": 9.0}))
        self.bad("KNOWN", asks(401, {}), asks(404, {"k": 11.0}))
        self.bad("MIXED", asks(200, {}))  # no server ran it

    def test_the_directory_without_a_majority(self):
        def looked_up(at, status, **away):
            made = Made(**away)
            made.record.lookups.append((at, "m2", status))
            return made

        away = {"apart": ["m2"], "since": 10.0, "until": 30.0}
        self.good(looked_up(14.0, 200, **away), looked_up(20.0, 503, **away), looked_up(31.0, 200, **away))
        self.bad("DIRECTORY", looked_up(15.2, 200, **away), looked_up(29.0, 200, **away))

    def test_orders_are_acknowledged_after_a_repair_and_a_loss(self):
        def mended(took, status=200, able=frozenset({"m1", "m2", "m3"}), **more):
            made = Made(able=able, **more).event(10.0, "end").event(11.0, "removed").event(12.0, "end", "m3")
            return made.order(7, A, 16.1, took, status)

        self.good(mended(5.0), mended(9.0, able=set()), mended(9.0).event(19.0, "end"))
        self.bad("MAJORITY", mended(6.2), mended(30.0, None))
        self.good(mended(6.1, 409).order(7, B, 16.0))  # who lost has its answer
        self.bad("ACKS", Made().order(7, A, 16.0, 6.2), Made().order(-1, "", 16.0, 6.0, None, BEGIN))
        lossy = Made().order(7, A, 16.0, 6.2)
        lossy.record.troubles.append((17.0, 20.0, "answers"))
        self.good(lossy)
        self.bad("ACKS", Made(able=set("m1 m2 m3".split())).event(30.0, "start").order(7, A, 16.0, 6.2))

    def test_who_comes_back_counts_and_holds_the_newest(self):
        def back(formed, serves=8, at=24.1, **more):
            made = Made(formed=formed, **more).order(8, A, 18.0).event(20.0, "start")
            return made.serves(serves, A, at, by="m4") if serves is not None else made

        every = {"m1", "m2", "m3", "m4"}
        self.good(back(every, at=23.9), back(set(), at=23.9).event(22.0, "end"), back(set(), able={"m1", "m2", "m3"}))
        self.bad("WHOLE", back({"m1", "m2", "m3"}, at=23.9), back(every), back(every, None))
        self.assertEqual(self.found(back(every).order(7, B, 10.0).serves(7, B, 23.0, by="m4")), ["CONFIG", "WHOLE"])
        most = back(every, at=26.0)
        for name in ("m1", "m2", "m3"):
            most.event(20.0, "start", name).serves(8, A, 26.0, by=name)
        self.good(most)  # most of the core came back at once: twice the time

    def test_evacuations_at_the_end(self):
        def ends(emptied, *orders):
            made = Made()
            for path, at, status in orders:
                made.order(-1, "", at, status=status, path=path)
            made.record.emptied.append((60.0, "m1", set(emptied)))
            return made

        begun, ended = (BEGIN, 10.0, 200), (FINISH, 20.0, 200)
        self.good(
            ends(["z1"], begun),
            ends([], begun, ended),
            ends(["z1"], begun, (FINISH, 10.05, 200)),
            ends([], begun, (FINISH, 20.0, None)),
        )
        self.bad("LOST", ends([], begun), ends(["z1"], begun, ended), ends([], (FINISH, 4.0, None), begun))

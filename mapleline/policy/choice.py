"""Choice of a server."""

from .estimate import expected
from .state import UNSAFE, Request, Server

IDLER = 0.5  # expected time at a server that holds back another class
DRAWS = 20  # servers looked at for an attempt, and as many again for each that a gateway could own
DRAWN_ALL = 6  # draws a server: with more of them one in 400 is missed, and drawing costs more than it spares
FAR = 1.02  # another zone must look a little better: less than chance, or all would stay in their own


class Choice:

    def pick(self, r: Request) -> Server | None:
        """From the first tier that has a server to be had; later ones as far as the fleet's spill goes."""
        best = self.cold_lot(r.ev.class_id) if self.cold and r.sent == 0 else None
        if best is not None or not self.warm:
            return best
        for n, tier in enumerate(self.tiers):
            warm = [sv for sv in self.warm if sv.zone in tier]
            best = self.choose(r, warm) if warm else None
            if best is not None:
                size, top = sum(sv.zone == best.zone for sv in warm), max(
                    c.value for c in self.settings.classes)
                return best if n == 0 or self.may("spill", best.zone, size, r.cls.value / top) else None
        return None if self.tiers else self.choose(r, self.warm)

    def choose(self, r: Request, warm: list[Server]) -> Server | None:
        """Least expected time to an answer among some drawn by weight; failures are priced."""
        cls, usual, best = r.ev.class_id, self.usual[r.ev.class_id], None
        few, drawn = DRAWS + DRAWS * len(warm) // self.settings.ingresses, warm
        if few < DRAWN_ALL * len(warm):  # else next to none would be left out
            drawn = self.rng.choices(drawn, [sv.weight for sv in drawn], k=few)
        mean = self.weight / (len(warm) + len(self.cold))
        loss, best_cost = r.cls.latency_target_ns if r.cls.effect == UNSAFE else 2 * usual, 0.0
        drawn = [sv for sv in dict.fromkeys(drawn) if self.usable(sv, cls)]
        drawn = drawn or [sv for sv in warm if self.usable(sv, cls)]
        for sv in drawn:
            cost = expected(usual * sv.slow, len(sv.out) * mean / sv.weight, self.rng)
            held = sv.full_for
            if held and cls not in held and any(until > self.now for until in held.values()):
                cost *= IDLER
            cost = cost * (FAR if sv.zone != self.settings.zone else 1.0) + loss * (
                sv.bad + (sv.id in r.tried))
            if best is None or cost < best_cost:
                best, best_cost = sv, cost
        return best

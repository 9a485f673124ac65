"""Choice of a server."""

from .estimate import expected
from .state import UNSAFE, Request, Server

OTHER_CLASS = 0.5  # factor on the expected time at a server that rejects another class
DRAWS = 20  # servers drawn by weight for an attempt, and as many again for each server per ingress
MAX_DRAWS = 6  # per server: more would miss one server in 400, and drawing cost more than it saves
OTHER_ZONE = 1.02  # another zone's server must be this much better; less than CHANCE, or all stay in theirs


class Choice:

    def pick(self, request: Request) -> Server | None:  # later tiers within the spill budget
        one = self.draw_cold(request.event.class_id) if self.cold and request.sent == 0 else None
        if one is not None or not self.warm:
            return one
        for rank, tier in enumerate(self.tiers):
            warm = [s for s in self.warm if s.zone in tier]
            one = self.choose(request, warm) if warm else None
            if one is not None:
                size, top = sum(s.zone == one.zone for s in warm), max(c.value for c in self.settings.classes)
                return one if rank == 0 or self.may_spend(
                    "spill", one.zone, size, request.class_.value / top) else None
        return None if self.tiers else self.choose(request, self.warm)

    def choose(self, request: Request, warm: list[Server]) -> Server | None:  # least time; failures add to it
        class_id, usual_ns, best = request.event.class_id, self.usual_ns[request.event.class_id], None
        count, drawn = DRAWS + DRAWS * len(warm) // self.settings.ingresses, warm
        if count < MAX_DRAWS * len(warm):  # otherwise nearly all would be drawn
            drawn = self.rng.choices(drawn, [s.weight for s in drawn], k=count)
        mean = self.total_weight / (len(warm) + len(self.cold))
        loss, low = request.class_.latency_target_ns if request.class_.effect == UNSAFE else 2 * usual_ns, 0.0
        drawn = [s for s in dict.fromkeys(drawn) if self.is_usable(s, class_id)]
        drawn = drawn or [s for s in warm if self.is_usable(s, class_id)]
        for server in drawn:
            cost = expected(usual_ns * server.slowness, len(server.attempts) * mean / server.weight, self.rng)
            blocked = server.blocked
            if blocked and class_id not in blocked and any(until > self.now for until in blocked.values()):
                cost *= OTHER_CLASS
            cost = cost * (OTHER_ZONE if server.zone != self.settings.zone else 1.0) + loss * (
                server.error_rate + (server.id in request.tried))
            if best is None or cost < low:
                best, low = server, cost
        return best

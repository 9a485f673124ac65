"""A test rig: an engine with a scripted decision module and drivers that only record their calls."""

from helpers import S, settings

from mapleline.engine import Engine
from mapleline.policy import interface

START_NS = 1000 * S
REQUEST_TTL_NS = 2 * S


class ScriptedModule:
    """A stub of the decision module: reacts to each type of event as scripted, and records the events.

    Attributes:
        settings: The settings.
        events: The events so far.
        reactions: By type of event, a function from an event to its actions; an exception among them is raised.
        actions: The actions decided for the event that is being handled.
    """

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.events = []
        self.reactions = {}
        self.actions = []

    def handle(self, now_ns, event):
        self.events.append(event)
        self.actions = []
        react = self.reactions.get(type(event), lambda event: [])
        for action in react(event):
            if isinstance(action, Exception):
                raise action
            self.actions.append(action)
        return self.actions

    def event_types(self):
        return [type(event) for event in self.events]

    def events_of(self, event_type):
        return [event for event in self.events if type(event) is event_type]


class EngineRig:
    """An engine whose upstreams, counter, alarm and answerers are all this object.

    Attributes:
        now_ns: The time.
        calls: The calls to the drivers and the answerer, in order.
        attempts: The attempts sent.
        counter_calls: The counter calls made.
        alarm_at_ns: The time of the alarm.
    """

    def __init__(self, **changes):
        self.now_ns = START_NS
        self.calls = []
        self.attempts = []
        self.counter_calls = []
        self.alarm_at_ns = None
        self.module = ScriptedModule(**changes)
        self.engine = Engine(self.module, lambda: self.now_ns)
        self.engine.connect(upstreams=self, counter=self, alarm=self)
        self.module.reactions[interface.Arrival] = lambda event: [interface.Send(event.request, 1)]

    def accept(self, class_id=0, is_body_pending=False):
        arrival = interface.Arrival(0, class_id, 0, 5, REQUEST_TTL_NS, is_body_pending=is_body_pending)
        return self.engine.accept(arrival, "payload", self)

    def advance(self, after_ns):
        """Let time pass, then trigger the alarm."""
        self.now_ns += after_ns
        self.engine.handle_alarm()

    # Upstreams

    def send(self, attempt, timeout_ns):
        self.attempts.append(attempt)

    def cancel(self, attempt):
        self.calls.append("cancel")

    # QuotaCounter

    def add(self, call):
        self.counter_calls.append(call)

    def expire(self, call):
        self.calls.append("expire")

    # Alarm

    def set(self, at_ns):
        self.alarm_at_ns = at_ns

    # Answerer

    def send_answer(self, response):
        self.calls.append(("answer", response))

    def begin_answer(self, response, source):
        self.calls.append(("begin answer", response, source))

    def reject(self, retry_after_ns, is_over_quota):
        self.calls.append(("reject", retry_after_ns, is_over_quota))

    def fail(self, is_overdue):
        self.calls.append(("fail", is_overdue))

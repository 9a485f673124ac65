"""An engine with a scripted decision module and drivers that only note what they are asked for."""

from helpers import S, settings

from mapleline.engine import Engine
from mapleline.policy import interface

START_NS = 1000 * S
REQUEST_TTL_NS = 2 * S


class ScriptedModule:
    """Stands for the decision module: answers each type of event as scripted, and keeps the events.

    Attributes:
        settings: the settings.
        events: the events so far.
        reactions: by type of event, a function from an event to its actions; an exception among them is raised.
        actions: the actions decided for the event in hand.
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
    """An engine; the rig is its upstreams, its counter, its alarm and each request's answerer.

    Attributes:
        now_ns: the time.
        notes: what the drivers and the answerer were asked for, in order.
        attempts: the attempts sent.
        counter_calls: the counter calls made.
        alarm_at_ns: the time of the alarm.
    """

    def __init__(self, **changes):
        self.now_ns = START_NS
        self.notes = []
        self.attempts = []
        self.counter_calls = []
        self.alarm_at_ns = None
        self.module = ScriptedModule(**changes)
        self.engine = Engine(self.module, lambda: self.now_ns)
        self.engine.connect(upstreams=self, counter=self, alarm=self)
        self.module.reactions[interface.Arrival] = lambda event: [interface.Send(event.request, 1)]

    def accept(self, cls=0, coming=False):
        arrival = interface.Arrival(0, cls, 0, 5, REQUEST_TTL_NS, is_body_pending=coming)
        return self.engine.accept(arrival, "payload", self)

    def advance(self, after_ns):
        """Let time pass and the alarm go off."""
        self.now_ns += after_ns
        self.engine.handle_alarm()

    # Upstreams

    def send(self, attempt, timeout_ns):
        self.attempts.append(attempt)

    def cancel(self, attempt):
        self.notes.append("cancel")

    # QuotaCounter

    def add(self, call):
        self.counter_calls.append(call)

    def expire(self, call):
        self.notes.append("expire")

    # Alarm

    def set(self, at_ns):
        self.alarm_at_ns = at_ns

    # Answerer

    def send_answer(self, response):
        self.notes.append(("answer", response))

    def begin_answer(self, response, source):
        self.notes.append(("begin answer", response, source))

    def reject(self, retry_after_ns, is_over_quota):
        self.notes.append(("reject", retry_after_ns, is_over_quota))

    def fail(self, is_overdue):
        self.notes.append(("fail", is_overdue))

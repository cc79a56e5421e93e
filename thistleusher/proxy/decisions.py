"""What the proxy decides: counted before it is sent, a backend by tiers, further tries by budget, refused in time.

Guaranteed: a request is sent on only once its tenant's count or share has let it in; one that may have run is sent
again only if its route allows it; one attempt of it is out at a time; every request ends with one final action or a
served answer; a charge whose request was never sent on is given back.

It stands where the decision module of the ingress in service stands, behind the same driver, with the same events and
actions and two of its own: `Charge` and `Counted`. The choice among a tier's backends and the ejection of faulty ones
are that module's (`policy.fleet`), a fleet a service.

Pure; `now` in seconds on the steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_timing import DECIDE_LOCALLY, OVER_LIMIT, VERDICT_WAIT_S
from thistleusher.configuration.index import RouteMatch
from thistleusher.configuration.records import Configuration
from thistleusher.core import actions, events
from thistleusher.core.backend_record import Backend
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import ClassSettings, Effect, PlanSettings, Settings
from thistleusher.policy.fleet import Fleet
from thistleusher.proxy.budgets import UNKNOWN, Colds, Tries
from thistleusher.proxy.placement import Ground, Place, homes_of, tiers
from thistleusher.proxy.quota import Quota

SWEEP = 1  # token of the timer
SWEEP_S = 0.05
SILENT_X = 8.0  # usual times of owed answers, after which a backend counts as silent
MOST_SENDS = 5  # sends of one request, whether they came anywhere or not
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
PLAN = "all"
AGAIN_S = 0.05  # added to the time until a tenant's next window
NEARER_X = 1.25  # times the usual time of the best, that one of this zone may take
UNKNOWN_WINDOW = -1
PLACE_S = 0.2  # of its aim, for which a request may wait for a backend before it is refused


class Charge(NamedTuple):
    """Action: add to a tenant's one count; the answer to a positive amount is a `Counted`.

    An amount below 0 gives the request's charge back, once it is sure that the request is not sent on by it; `window`
    is the one that it was charged in, `UNKNOWN_WINDOW` where no verdict has told.
    """

    request: str
    tenant: str
    amount: int
    window: int = UNKNOWN_WINDOW


class Counted(NamedTuple):
    """Event: the counter's verdict, seconds until the tenant's next window, and the number of the present one."""

    request: str
    verdict: int
    left: float
    window: int = UNKNOWN_WINDOW


class Asked(NamedTuple):
    """The route and tenant that a request came by; told before the request itself."""

    found: RouteMatch
    tenant: str | None


class Flight:
    """A request that is owed one final answer; what `policy.fleet` asks of one, and more."""

    __slots__ = (
        "req",
        "cls",
        "work",
        "bad",
        "ran_on",
        "found",
        "tenant",
        "service",
        "homes",
        "sends",
        "arrived",
        "ran",
        "charged",
        "window",
        "counted",
        "aim",
        "came",
        "sent",
        "backend",
    )

    def __init__(
        self,
        req: events.Request,
        asked: Asked,
        cls: ClassSettings,
        now: float,
        service: str,
        homes: frozenset[str] | None,
    ) -> None:
        self.req, self.cls, self.work, self.bad = req, cls, 1.0, set[str]()
        self.ran_on: BackendEntry | None = None
        self.found, self.tenant, self.service, self.homes = asked.found, asked.tenant, service, homes
        self.sends = self.arrived = 0
        self.ran = self.charged = self.counted = False
        self.window = UNKNOWN_WINDOW  # that it was charged in
        self.aim, self.came, self.sent = now + req.expires_in, now, 0.0
        self.backend = ""


def class_of(found: RouteMatch) -> ClassSettings:
    """A route as a class of the decision module."""
    route = found.route
    return ClassSettings(
        found.name,
        Effect.SAFE if route.idempotent else Effect.UNSAFE,
        max(0.05, route.target_ms / 1000),
        route.deadline_ms / 1000,
    )


class Decisions:
    """One proxy's."""

    def __init__(
        self,
        node: str,
        zone: str,
        region: str,
        bounds: Bounds,
        rng: random.Random,
        now: float,
        born: float | None = None,
    ) -> None:
        """`born`: when this process began; `now` where it is not known."""
        self.node, self.bounds, self.rng = node, bounds, rng
        self.ground = Ground(zone, region)
        self.quota = Quota(now, bounds.quota_slack, born)
        self.colds = Colds(node, bounds.cold_excess, bounds.cold_slack)
        self.tries: dict[str, Tries] = {}
        self.fleets: dict[str, Fleet] = {}
        self.places: dict[str, Place] = {}
        self.strangers: set[str] = set()  # ids that a 421 has shown to be no longer at their address
        self.expected: dict[str, Asked] = {}
        self.flights: dict[str, Flight] = {}
        self.counting: dict[str, float] = {}  # requests without a verdict, and since when
        self.waiting: list[str] = []  # requests that no backend could take just then
        self.config: Configuration | None = None
        self.classes: dict[str, ClassSettings] = {}  # of the routes of the configuration in force
        self.ingresses: list[str] = []
        self.acts: list[Any] = []
        self.armed = False
        self.settings = Settings(
            (ClassSettings("-", Effect.UNSAFE, 1.0, 30.0),),
            (PlanSettings(PLAN, 0.0, 0.0),),
            max_retry_after=0.25,
            instances=1,
            may_cancel=True,
            own_backends=True,
        )
        self.take: dict[type, Callable[[float, Any], None]] = {
            events.Request: self._asked,
            Counted: self._counted,
            events.AttemptEnded: self._ended,
            events.ClientGone: self._gone,
            events.TimerFired: self._sweep,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        """One event; the actions that follow from it."""
        take = self.take.get(type(event))
        if take is not None:
            take(now, event)
        if not self.armed and (self.flights or self.counting):
            self.armed = True
            self.acts.append(actions.SetTimer(SWEEP_S, SWEEP))
        acts = self.acts.copy()
        self.acts.clear()  # the fleets hold this very list
        return acts

    # What is known.

    def configured(self, now: float, config: Configuration) -> None:
        """A configuration is in force."""
        self.config = config
        self.classes = {name: class_of(RouteMatch(name, route)) for name, route in config.routes.items()}
        self.quota.follow({name: (t.rate_per_s, t.burst) for name, t in config.tenants.items()})
        self._listed(now)

    def listed(self, now: float, places: dict[str, Place]) -> None:
        """The list of backends, whole."""
        self.places = places
        self.strangers &= places.keys()
        self.colds.keep(set(places))
        self._listed(now)

    def _listed(self, now: float) -> None:
        by_service: dict[str, list[BackendEntry]] = {}
        for place in self.places.values():
            phase = Phase.STOPPING if place.draining else Phase.RUNNING
            by_service.setdefault(place.service, []).append(
                BackendEntry(place.name, phase, float(place.slots), zone=place.zone)
            )
        for service in by_service.keys() | self.fleets.keys():
            fleet = self._fleet(now, service)
            fleet.listed(now, events.ListUpdate(ListKind.WHOLE, 0, tuple(by_service.get(service, ()))))

    def _fleet(self, now: float, service: str) -> Fleet:
        fleet = self.fleets.get(service)
        if fleet is None:
            fleet = self.fleets[service] = Fleet(self.settings, self.rng, self.acts, now)
        return fleet

    def evacuated(self, now: float, zones: set[str]) -> None:
        """The zones that are to be left; backends of one that is taken back may have turned cold."""
        back = self.ground.evacuated - zones
        for place in self.places.values():
            if place.zone in back:
                place.cold_until = max(place.cold_until, now + self._warmup(place))
        self.ground.evacuated = zones

    def _warmup(self, place: Place) -> float:
        service = self.config.services.get(place.service) if self.config is not None else None
        return service.warmup_s if service is not None else 0.0

    def stranger(self, backend: str) -> None:
        """Another backend has this one's address."""
        self.strangers.add(backend)

    # Admission.

    def expect(self, name: str, asked: Asked) -> None:
        """The request of this id comes next, by this route and tenant."""
        self.expected[name] = asked

    def _asked(self, now: float, request: events.Request) -> None:
        e = self.expected.pop(request.id)
        route, config = e.found.route, self.config
        assert config is not None
        tenant = config.tenants.get(e.tenant) if e.tenant is not None else None
        cls = self.classes.get(e.found.name) or class_of(e.found)  # read ahead, and its route dropped since
        homes = homes_of(route.regions_allowed, tenant.regions_allowed if tenant is not None else ())
        flight = self.flights[request.id] = Flight(request, e, cls, now, self._service(e.found), homes)
        self._tries(flight.service).came(now)
        if homes is not None and not homes:
            self._refuse(flight, 0.0)  # no region may serve it: it is never sent on, and not charged
        elif e.tenant is None or not self.quota.limited(e.tenant):
            self._place(now, flight)
        elif self.quota.alone(now):
            self._alone(now, flight)
        else:
            flight.charged = True
            self.counting[request.id] = now
            self.acts.append(Charge(request.id, e.tenant, 1))

    def _service(self, found: RouteMatch) -> str:
        shares = found.route.shares
        if len(shares) == 1:
            return shares[0].target
        draw = self.rng.random() * sum(s.weight for s in shares)
        for share in shares:
            draw -= share.weight
            if draw < 0:
                return share.target
        return max(shares, key=lambda s: s.weight).target

    def _tries(self, service: str) -> Tries:
        tries = self.tries.get(service)
        if tries is None:
            tries = self.tries[service] = Tries(
                self.bounds.retry_ratio, self.bounds.retry_slack, self.bounds.retry_window_s
            )
        return tries

    def _counted(self, now: float, e: Counted) -> None:
        self.counting.pop(e.request, None)
        flight = self.flights.get(e.request)
        if flight is None or flight.counted or flight.tenant is None:
            return  # its client has left, or its own share has let it in: the charge was given back
        flight.window = e.window
        if e.verdict == DECIDE_LOCALLY:
            self.quota.uncounted(now, flight.tenant, e.left)
            self._alone(now, flight)
            return
        self.quota.counted(flight.tenant)
        if e.verdict == OVER_LIMIT:
            self._alone(now, flight, e.left + AGAIN_S + 0.2 * self.rng.random())
        else:
            self._let_in(now, flight)

    def _let_in(self, now: float, flight: Flight) -> None:
        flight.counted = True
        self._place(now, flight)

    def _alone(self, now: float, flight: Flight, wait: float = 0.0) -> None:
        """The count does not let it in: what is this ingress's own does, or it is refused; its charge is given back."""
        assert flight.tenant is not None
        self._give_back(flight)
        if self.quota.spend(now, flight.tenant):
            self._let_in(now, flight)
        else:
            self._refuse(flight, wait)

    # A backend.

    def _place(self, now: float, flight: Flight) -> None:
        """Send it to the best backend of the nearest tier that has one; or have it wait a little, or refuse it."""
        fleet = self._fleet(now, flight.service)
        best = self._best(now, fleet, flight)
        if best is not None:
            self._send(now, fleet, flight, best)
            return
        possible = flight.homes is None or bool(flight.homes)
        if possible and now - flight.came < PLACE_S * flight.cls.objective and flight.req.id not in self.waiting:
            self.waiting.append(flight.req.id)
        elif flight.req.id not in self.waiting:
            self._give_up(flight)

    def _best(self, now: float, fleet: Fleet, flight: Flight) -> Backend | None:
        """The best backend of the nearest tier that has one."""
        fleet.add_class(flight.cls)
        for tier in tiers(self.ground, self.places, fleet.ready, flight.homes):
            fit = [b for b in tier if self._fits(now, b)]
            best = fleet.least(now, flight, fit) if fit else None
            if best is not None:
                return self._nearer(now, fleet, flight, fit, best)
        return None

    def _nearer(self, now: float, fleet: Fleet, flight: Flight, fit: list[Backend], best: Backend) -> Backend:
        """One of this zone in place of the best, where it is about as good: bytes between zones are paid for."""
        zone = self.ground.zone
        if best.entry.zone == zone:
            return best
        here = fleet.least(now, flight, [b for b in fit if b.entry.zone == zone])
        same = (
            here is not None
            and here.work <= best.work
            and here.ratio <= NEARER_X * best.ratio
            and (here.errors <= best.errors)
        )
        return here if same and here is not None else best

    def _fits(self, now: float, b: Backend) -> bool:
        place = self.places[b.entry.backend]
        if place.name in self.strangers:
            return False
        if now >= place.cold_until:
            return True
        service = self.config.services.get(place.service) if self.config is not None else None
        return (
            service is None
            or service.cold_per_s <= 0
            or self.colds.may(now, place.name, service.cold_per_s, self.ingresses)
        )

    def _send(self, now: float, fleet: Fleet, flight: Flight, best: Backend) -> None:
        name = best.entry.backend
        flight.sends += 1
        flight.sent, flight.backend = now, name
        if flight.arrived:
            self._tries(flight.service).spend(now)
        if now < self.places[name].cold_until:
            self.colds.spend(now, name)
        fleet.sent(now, best, flight)
        self.acts.append(actions.Attempt(flight.req.id, name))

    def _ended(self, now: float, e: events.AttemptEnded) -> None:
        flight = self.flights.get(e.request)
        for fleet in self.fleets.values():
            if e.backend in fleet.backends:
                fleet.ended(now, e)
        if flight is None:
            return
        if e.done:
            del self.flights[e.request]
            return
        flight.bad.add(e.backend)
        if e.outcome not in (Outcome.CONNECT_FAILED, Outcome.MOOT):
            flight.arrived += 1
        if e.outcome not in NEVER_RAN:
            flight.ran = True
        if self._again(now, flight):
            self._place(now, flight)
        else:
            self._give_up(flight)

    def _again(self, now: float, flight: Flight) -> bool:
        """Whether one more try is allowed: by its route, its time, and the budget of all."""
        route = flight.found.route
        if flight.ran and not route.idempotent:
            return False
        if flight.sends >= MOST_SENDS or flight.arrived >= max(1, route.tries) or now >= flight.aim:
            return False
        return not flight.arrived or self._tries(flight.service).may(now, len(self.ingresses) or UNKNOWN)

    def _give_up(self, flight: Flight) -> None:
        """A final answer at once: refused where it surely has not run, failed elsewhere."""
        if flight.ran:
            self.flights.pop(flight.req.id, None)
            self.acts.append(actions.Fail(flight.req.id))
        else:
            self._refuse(flight, 0.0)

    def _refuse(self, flight: Flight, wait: float) -> None:
        self.flights.pop(flight.req.id, None)
        self._give_back(flight)
        self.acts.append(actions.Refuse(flight.req.id, wait))

    def _give_back(self, flight: Flight) -> None:
        if flight.charged and flight.tenant is not None and not flight.arrived:
            flight.charged = False
            self.acts.append(Charge(flight.req.id, flight.tenant, -1, flight.window))

    def _gone(self, now: float, e: events.ClientGone) -> None:
        flight = self.flights.pop(e.request, None)
        self.counting.pop(e.request, None)
        if flight is not None and not flight.sends:
            self._give_back(flight)

    # Time.

    def _sweep(self, now: float, e: events.TimerFired) -> None:
        self.armed = False
        alone = self.quota.alone(now)
        for name, since in list(self.counting.items()):
            flight = self.flights.get(name)
            if flight is None or flight.tenant is None:
                del self.counting[name]
            elif alone:
                del self.counting[name]
                self._alone(now, flight)
            elif now - since < VERDICT_WAIT_S:
                break  # they stand in the order in which they came
            elif self.quota.spend(now, flight.tenant):
                del self.counting[name]
                self._give_back(flight)
                self._let_in(now, flight)
        waiting, self.waiting = self.waiting, []
        for name in waiting:
            flight = self.flights.get(name)
            if flight is not None:
                self._place(now, flight)
        for fleet in self.fleets.values():
            for b in fleet.eject_silent(now, SILENT_X):
                for name in b.outstanding:
                    flight = self.flights.get(name)
                    if flight is None or not flight.found.route.idempotent or flight.backend != b.entry.backend:
                        continue
                    late = now - flight.sent > 2 * fleet.latency[flight.cls.name]
                    if late and self._again(now, flight) and self._other(now, fleet, flight):
                        self.acts.append(actions.CancelAttempt(name, flight.sends - 1))

    def _other(self, now: float, fleet: Fleet, flight: Flight) -> bool:
        """Whether another backend would take a request whose backend is silent: silence alone ends no attempt."""
        best = self._best(now, fleet, flight)
        return best is not None and best.entry.backend != flight.backend

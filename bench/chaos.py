"""Faults for long randomised runs over real processes."""

import abc
import collections
import dataclasses
import random
import signal
import threading
import time
import uuid

from bench import deployments
from bench import fleet
from chivejunction import registry

FAULTS: registry.Registry[type['Fault']] = registry.Registry('fault')


RETRY_SECONDS = 30.0


@dataclasses.dataclass
class Change:
    """One attempt of an operator to change a resource.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        sent: Wall-clock seconds at which it was sent.
        accepted: Wall-clock seconds of the acceptance; None if it was
            refused or its result is unknown.
        changed_at: Revision of the accepted change.
        resource: Accepted fields.
        expected: Revision that the operator had seen, None if any will do.
    """

    kind: str
    name: str
    sent: float
    accepted: float | None = None
    changed_at: int = 0
    resource: dict = dataclasses.field(default_factory=dict)
    expected: int | None = None


@dataclasses.dataclass
class Span:
    """Time in which a fault was active, in wall-clock seconds."""

    fault: str
    target: str
    start: float
    end: float | None = None


@dataclasses.dataclass
class Journal:
    """What a run has done to the deployment.

    Attributes:
        changes: Attempts of operators.
        spans: Injected faults.
        stopped: Processes that are expected to end.
    """

    changes: list[Change] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    stopped: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Planned:
    """A fault of a plan.

    Attributes:
        lane: Sequence that the fault belongs to; lanes run side by side.
        start: Seconds from the start of the run.
        end: Seconds from the start of the run.
        name: Name in the registry.
        target: What the fault hits.
        seed: Seed of further choices.
    """

    lane: int
    start: float
    end: float
    name: str
    target: str
    seed: int

    def describe(self) -> str:
        """Returns name and target, for the log of a run."""
        return f'{self.name}({self.target})'


class Fault(abc.ABC):
    """A fault that is injected and then removed.

    Args:
        started: Running processes.
        deployment: Deployment to disturb.
        random_source: Seeded source of choices.
        target: What the fault hits.
        journal: Takes the changes that the fault makes.
    """

    seconds = (2.0, 6.0)

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        random_source: random.Random,
        target: str,
        journal: Journal,
    ):
        self.fleet = started
        self.deployment = deployment
        self.random = random_source
        self.target = target
        self.journal = journal

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns what the fault hits."""
        return rng.choice(deployment.agents())

    @abc.abstractmethod
    def inject(self) -> None:
        """Injects the fault."""

    @abc.abstractmethod
    def remove(self) -> None:
        """Removes the fault."""

    def set_fake(self, member: str, **faults) -> None:
        """Sets fault switches of a fake.

        Raises:
            RuntimeError: The fake does not know a switch.
        """
        url = f'{self.fleet.members[member].url()}/faults'
        status, body = fleet.call_json('POST', url, faults)
        if status != 200:
            raise RuntimeError(f'{member} refused {faults}: {body}')

    def change(
        self,
        kind: str,
        name: str,
        value: dict,
        action: str = '',
        gateway: str = '',
    ) -> bool:
        """Makes a change as an operator, until it is accepted.

        Args:
            kind: Kind of the resource.
            name: Name of the resource.
            value: Resource, or arguments of the action.
            action: Action on the resource, empty for a declaration.
            gateway: Gateway to ask; the first one by default.

        Returns:
            Whether it was accepted in time.
        """
        member = gateway or self.deployment.gateways()[0]
        base = self.fleet.members[member].url('admin')
        url = f'{base}/api/v1/{kind}/{name}'
        # Attempts with one id are the same change if an answer gets lost.
        headers = {'change-id': uuid.uuid4().hex}
        deadline = time.monotonic() + RETRY_SECONDS
        while time.monotonic() < deadline:
            if self.send_change(kind, name, url, value, action, headers):
                return True
            time.sleep(0.5)
        return False

    def send_change(
        self,
        kind: str,
        name: str,
        url: str,
        value: dict,
        action: str,
        headers: dict,
    ) -> bool:
        """Makes one attempt and records it; returns whether it succeeded."""
        expected = headers.get('if-match')
        made = Change(kind, name, time.time())
        made.expected = None if expected is None else int(expected)
        self.journal.changes.append(made)
        credential = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
        try:
            status, body = fleet.call_json(
                'POST' if action else 'PUT',
                f'{url}/{action}' if action else url,
                value,
                {**credential, **headers},
            )
        except OSError:
            return False
        if status == 200:
            made.changed_at = body['changed_at']
            made.resource = body['resource']
            made.accepted = time.time()
        return status == 200


@FAULTS.register('agent_kill')
class AgentKill(Fault):
    """Kills an agent and starts it again as a new incarnation."""

    def expect_end(self) -> None:
        """Notes that the process ends because of this fault."""
        self.journal.stopped.add(self.fleet.members[self.target].process.pid)

    def inject(self) -> None:
        """Kills the agent."""
        self.expect_end()
        self.fleet.signal(self.target, signal.SIGKILL)
        self.fleet.members[self.target].process.wait()

    def remove(self) -> None:
        """Starts the agent again."""
        self.fleet.restart(self.target)


@FAULTS.register('agent_freeze')
class AgentFreeze(Fault):
    """Stops an agent for longer than the silence limit of its links."""

    def inject(self) -> None:
        """Stops the process."""
        self.fleet.signal(self.target, signal.SIGSTOP)

    def remove(self) -> None:
        """Continues the process."""
        self.fleet.signal(self.target, signal.SIGCONT)


@FAULTS.register('agent_restart')
class AgentRestart(AgentKill):
    """Stops an agent gracefully and starts it again."""

    def inject(self) -> None:
        """Sends SIGTERM; the agent ends when its work is done."""
        self.expect_end()
        self.fleet.signal(self.target, signal.SIGTERM)

    def remove(self) -> None:
        """Waits for the end of the process and starts it again."""
        self.fleet.members[self.target].process.wait(fleet.STOP_SECONDS)
        self.fleet.restart(self.target)


@FAULTS.register('gateway_kill')
class GatewayKill(AgentKill):
    """Kills a gateway and starts it again as a new incarnation."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a gateway other than the first one."""
        return rng.choice(deployment.gateways()[1:])


@FAULTS.register('gateway_freeze')
class GatewayFreeze(AgentFreeze):
    """Stops a gateway for longer than the silence limit of its links."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a gateway other than the first one."""
        return rng.choice(deployment.gateways()[1:])


@FAULTS.register('gateway_restart')
class GatewayRestart(AgentRestart):
    """Stops a gateway gracefully and starts it again."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a gateway other than the first one."""
        return rng.choice(deployment.gateways()[1:])


@FAULTS.register('store_outage')
class StoreOutage(Fault):
    """Takes the key-value store down."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the store."""
        return 'store'

    def inject(self) -> None:
        """Lets the store refuse every call."""
        self.set_fake('store', down=True)

    def remove(self) -> None:
        """Lets the store answer again."""
        self.set_fake('store', down=False)


@FAULTS.register('store_lost_answers')
class StoreLostAnswers(StoreOutage):
    """Loses answers of writes that took effect."""

    def inject(self) -> None:
        """Loses every other answer."""
        self.set_fake('store', lose_answers=0.5)

    def remove(self) -> None:
        """Loses no more answers."""
        self.set_fake('store', lose_answers=0.0)


@FAULTS.register('store_slow')
class StoreSlow(StoreOutage):
    """Slows every call of the store."""

    def inject(self) -> None:
        """Delays calls by 1.5 s."""
        self.set_fake('store', delay=1.5)

    def remove(self) -> None:
        """Delays no more calls."""
        self.set_fake('store', delay=0.0)


@FAULTS.register('cold_start')
class ColdStart(Fault):
    """Lets an engine go through a cold start without warning."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the server of an engine."""
        number = rng.randrange(deployment.engines)
        return f'{deployment.name}-lm-{number}-server'

    def inject(self) -> None:
        """Starts the cold start."""
        self.set_fake(self.target, cold_start=True)

    def remove(self) -> None:
        """Does nothing; the engine becomes warm by itself."""


@FAULTS.register('slow_engine')
class SlowEngine(ColdStart):
    """Slows an engine."""

    def inject(self) -> None:
        """Makes the engine eight times slower."""
        self.set_fake(self.target, slow=8.0)

    def remove(self) -> None:
        """Restores its speed."""
        self.set_fake(self.target, slow=1.0)


@FAULTS.register('silence')
class Silence(Fault):
    """Lets the open data connections of an agent go silent for good.

    Needs an agent behind a proxy; new connections work.
    """

    def inject(self) -> None:
        """Holds everything that is sent on open connections."""
        self.set_fake(f'{self.target}-proxy', silence='both')

    def remove(self) -> None:
        """Does nothing; the connections stay silent."""


@FAULTS.register('hosts_down')
class HostsDown(Fault):
    """Takes the host list down, so that its readers fall behind."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the host list."""
        return 'hosts'

    def inject(self) -> None:
        """Lets the host list refuse every read."""
        self.set_fake('hosts', down=True)

    def remove(self) -> None:
        """Lets the host list answer again."""
        self.set_fake('hosts', down=False)


@FAULTS.register('hosts_empty')
class HostsEmpty(HostsDown):
    """Shows an empty host list."""

    def inject(self) -> None:
        """Hides all hosts."""
        self.set_fake('hosts', empty=True)

    def remove(self) -> None:
        """Shows the hosts again."""
        self.set_fake('hosts', empty=False)


@FAULTS.register('domain_drain')
class DomainDrain(Fault):
    """Closes a failure domain and reopens it."""

    seconds = (7.0, 12.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a failure domain."""
        return rng.choice(list(deployment.domains))

    def inject(self) -> None:
        """Closes the failure domain."""
        self.change('failuredomain', self.target, {}, 'drain')

    def remove(self) -> None:
        """Reopens the failure domain."""
        self.change('failuredomain', self.target, {}, 'reopen')


@FAULTS.register('version_withdrawal')
class VersionWithdrawal(Fault):
    """Withdraws a version and makes it active again."""

    seconds = (7.0, 12.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a version."""
        return rng.choice(deployment.versions).name

    def inject(self) -> None:
        """Withdraws the version."""
        self.change('modelversion', self.target, {}, 'withdraw')

    def remove(self) -> None:
        """Makes the version active."""
        self.change('modelversion', self.target, {}, 'reopen')


@FAULTS.register('rollout')
class Rollout(Fault):
    """Starts a rollout between the first two versions and halts it."""

    seconds = (4.0, 8.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the name of the rollout."""
        return f'{deployment.name}-rollout'

    def inject(self) -> None:
        """Starts the rollout at a quarter of the sessions."""
        old, new = self.deployment.versions[:2]
        value = {
            'name': self.target,
            'model': old.model,
            'from_version': old.name,
            'to_version': new.name,
            'stages': [0.25, 1.0],
        }
        self.change('rollout', self.target, value)
        self.change('rollout', self.target, {}, 'start')

    def remove(self) -> None:
        """Halts the rollout."""
        self.change('rollout', self.target, {}, 'halt')


@FAULTS.register('operator_race')
class OperatorRace(Fault):
    """Two operators change the same resource at the same time."""

    seconds = (0.5, 1.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns an organisation."""
        return rng.choice(list(deployment.organisations))

    def _find(self, gateway: str) -> str:
        base = self.fleet.members[gateway].url('admin')
        return f'{base}/api/v1/organisation/{self.target}'

    def _read(self) -> dict:
        status, body = fleet.call_json(
            'GET',
            self._find(self.deployment.gateways()[0]),
            headers={'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
        )
        if status != 200:
            raise RuntimeError(f'reading {self.target}: {status} {body}')
        return body

    def _race(self, gateway: str, found: dict, weight: float) -> None:
        self.send_change(
            'organisation',
            self.target,
            self._find(gateway),
            {**found['resource'], 'weight': weight},
            '',
            {'if-match': str(found['changed_at'])},
        )

    def inject(self) -> None:
        """Changes a weight through two gateways from one state."""
        found = self._read()
        threads = [
            threading.Thread(target=self._race, args=(gateway, found, weight))
            for gateway, weight in zip(
                self.deployment.gateways()[:2],
                self.random.sample((1.0, 2.0, 4.0), 2),
                strict=True,
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def remove(self) -> None:
        """Restores the declared weight."""
        weight = self.deployment.organisations[self.target]
        value = {**self._read()['resource'], 'weight': weight}
        self.change('organisation', self.target, value)


def plan_faults(
    deployment: deployments.Deployment,
    seed: int,
    seconds: float,
    names: list[str] | None = None,
    lanes: int = 2,
) -> list[Planned]:
    """Returns the faults of a run, by lane and time.

    A target has one fault at a time.

    Args:
        deployment: Deployment to disturb.
        seed: Seed; the same seed gives the same faults.
        seconds: Time in which faults are active.
        names: Faults to choose from, all by default.
        lanes: Faults that are active at a time.
    """
    rng = random.Random(seed)
    free_at = [rng.uniform(0.5, 2.0) for _ in range(lanes)]
    planned: list[Planned] = []
    bag: list[str] = []
    while min(free_at) < seconds:
        lane = free_at.index(min(free_at))
        if not bag:
            # Every fault comes once before one comes again.
            bag = sorted(names or FAULTS)
            rng.shuffle(bag)
        name = bag.pop()
        cls = FAULTS.get(name)
        start = free_at[lane]
        end = start + rng.uniform(*cls.seconds)
        target = cls.choose_target(deployment, rng)
        free_at[lane] = end + rng.uniform(0.3, 1.5)
        number = rng.randrange(2**32)
        taken = any(p.target == target and p.end > start for p in planned)
        if not taken and end <= seconds:
            planned.append(Planned(lane, start, end, name, target, number))
    return planned


class Driver:
    """Carries out a plan of faults, one thread for each lane.

    A fault that takes longer than planned delays its lane only.

    Args:
        started: Running processes.
        deployment: Deployment to disturb.
        planned: Faults by lane and time.
        journal: Takes what was done.
    """

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        planned: list[Planned],
        journal: Journal,
    ):
        self.log: list[tuple[float, str]] = []
        self.problems: list[str] = []
        self._fleet = started
        self._deployment = deployment
        self._planned = planned
        self._journal = journal
        self._locks = collections.defaultdict(threading.Lock)
        self._threads: list[threading.Thread] = []
        self._start = 0.0

    def start(self) -> None:
        """Starts the lanes."""
        self._start = time.monotonic()
        for planned in self._planned:
            self._locks[planned.target] = threading.Lock()
        for lane in sorted({p.lane for p in self._planned}):
            thread = threading.Thread(target=self._run_lane, args=(lane,))
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        """Waits until all faults are removed."""
        for thread in self._threads:
            thread.join()

    def _run_lane(self, lane: int) -> None:
        for planned in self._planned:
            if planned.lane == lane:
                with self._locks[planned.target]:
                    self._run(planned)

    def _run(self, planned: Planned) -> None:
        fault = FAULTS.get(planned.name)(
            self._fleet,
            self._deployment,
            random.Random(planned.seed),
            planned.target,
            self._journal,
        )
        self._sleep_until(planned.start)
        span = Span(planned.name, planned.target, time.time())
        self._journal.spans.append(span)
        self._try('inject', planned, fault.inject)
        self._sleep_until(planned.end)
        self._try('remove', planned, fault.remove)
        span.end = time.time()

    def _try(self, what: str, planned: Planned, act) -> None:
        now = round(time.monotonic() - self._start, 2)
        self.log.append((now, f'{what} {planned.describe()}'))
        try:
            act()
        except (OSError, RuntimeError, ValueError, TimeoutError) as exc:
            # A run without its faults must not look like a good one.
            self.problems.append(f'{what} {planned.describe()}: {exc!r}')

    def _sleep_until(self, seconds: float) -> None:
        time.sleep(max(0.0, self._start + seconds - time.monotonic()))

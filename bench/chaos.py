"""Faults that long randomised runs inject into real processes."""

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

# Time in which a change is retried until a gateway accepts it.
CHANGE_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass
class Change:
    """One request of an operator to change a resource.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        sent: Wall-clock seconds at which it was sent.
        accepted: Wall-clock seconds of the acceptance; None if the change was
            refused or its result is unknown.
        changed_at: Revision of the accepted change.
        resource: Accepted fields.
        expected: Revision that the change requires the resource to have, None
            if it may have any.
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
    """Period in which a fault was active, in wall-clock seconds."""

    fault: str
    target: str
    start: float
    end: float | None = None


@dataclasses.dataclass
class Journal:
    """Changes and faults that a run has applied to the deployment.

    Attributes:
        changes: Requests of operators.
        spans: Periods of the injected faults.
        stopped: Ids of the processes that are expected to end.
    """

    changes: list[Change] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    stopped: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class PlannedFault:
    """A scheduled fault.

    Attributes:
        lane: Sequence that the fault belongs to; lanes run concurrently.
        start: Time of the injection, in seconds from the start of the run.
        end: Time of the removal, in seconds from the start of the run.
        name: Name in the registry.
        target: Process or resource that the fault affects.
        seed: Seed of the random choices of the fault.
    """

    lane: int
    start: float
    end: float
    name: str
    target: str
    seed: int

    def describe(self) -> str:
        """Returns the name and target as text for the log of a run."""
        return f'{self.name}({self.target})'


class Fault(abc.ABC):
    """A fault that is injected and then removed.

    Args:
        processes: Running processes.
        deployment: Deployment of the processes.
        random_source: Seeded random number generator.
        target: Process or resource that the fault affects.
        journal: Journal to which the fault adds its changes.

    Attributes:
        seconds: Shortest and longest duration.
    """

    seconds = (2.0, 6.0)

    def __init__(
        self,
        processes: fleet.Fleet,
        deployment: deployments.Deployment,
        random_source: random.Random,
        target: str,
        journal: Journal,
    ):
        self.fleet = processes
        self.deployment = deployment
        self.random = random_source
        self.target = target
        self.journal = journal

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a process or resource that the fault affects."""
        return rng.choice(deployment.agents())

    @abc.abstractmethod
    def inject(self) -> None:
        """Injects the fault."""

    @abc.abstractmethod
    def remove(self) -> None:
        """Removes the fault."""

    def set_fake(self, member: str, **faults) -> None:
        """Sets fault switches of a fake server.

        Raises:
            RuntimeError: The fake server refused a switch.
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
        """Sends a change as an operator and retries it until it is accepted.

        Args:
            kind: Kind of the resource.
            name: Name of the resource.
            value: Resource, or arguments of the action.
            action: Action on the resource, empty for a declaration.
            gateway: Gateway to send it to; the first one by default.

        Returns:
            Whether it was accepted within CHANGE_TIMEOUT_SECONDS.
        """
        member = gateway or self.deployment.gateways()[0]
        base = self.fleet.members[member].url('admin')
        url = f'{base}/api/v1/{kind}/{name}'
        # After a lost response, the id marks the retry as the same change.
        headers = {'change-id': uuid.uuid4().hex}
        deadline = time.monotonic() + CHANGE_TIMEOUT_SECONDS
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
        """Sends a change once and records it; returns whether it succeeded."""
        expected = headers.get('if-match')
        change = Change(kind, name, time.time())
        change.expected = None if expected is None else int(expected)
        self.journal.changes.append(change)
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
            change.changed_at = body['changed_at']
            change.resource = body['resource']
            change.accepted = time.time()
        return status == 200


@FAULTS.register('agent_kill')
class AgentKill(Fault):
    """Kills an agent and starts it again as a new incarnation."""

    def expect_end(self) -> None:
        """Records that the process is expected to end."""
        self.journal.stopped.add(self.fleet.members[self.target].process.pid)

    def inject(self) -> None:
        """Kills the process and waits for its end."""
        self.expect_end()
        self.fleet.signal(self.target, signal.SIGKILL)
        self.fleet.members[self.target].process.wait()

    def remove(self) -> None:
        """Starts the process again."""
        self.fleet.restart(self.target)


@FAULTS.register('agent_freeze')
class AgentFreeze(Fault):
    """Suspends an agent for longer than the silence limit of its links."""

    def inject(self) -> None:
        """Suspends the process."""
        self.fleet.signal(self.target, signal.SIGSTOP)

    def remove(self) -> None:
        """Resumes the process."""
        self.fleet.signal(self.target, signal.SIGCONT)


@FAULTS.register('agent_restart')
class AgentRestart(AgentKill):
    """Stops an agent gracefully and starts it again."""

    def inject(self) -> None:
        """Sends SIGTERM; the process ends when its work is done."""
        self.expect_end()
        self.fleet.signal(self.target, signal.SIGTERM)

    def remove(self) -> None:
        """Waits for the end of the process and starts it again."""
        self.fleet.members[self.target].process.wait(
            fleet.STOP_TIMEOUT_SECONDS
        )
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
    """Suspends a gateway for longer than its links' silence limit."""

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
    """Makes the key-value store unavailable."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the store."""
        return 'store'

    def inject(self) -> None:
        """Makes the store refuse every call."""
        self.set_fake('store', down=True)

    def remove(self) -> None:
        """Makes the store respond again."""
        self.set_fake('store', down=False)


@FAULTS.register('store_lost_answers')
class StoreLostAnswers(StoreOutage):
    """Drops responses to writes that took effect."""

    def inject(self) -> None:
        """Drops every other response."""
        self.set_fake('store', lose_answers=0.5)

    def remove(self) -> None:
        """Stops dropping responses."""
        self.set_fake('store', lose_answers=0.0)


@FAULTS.register('store_slow')
class StoreSlow(StoreOutage):
    """Delays every call of the store."""

    def inject(self) -> None:
        """Delays calls by 1.5 s."""
        self.set_fake('store', delay=1.5)

    def remove(self) -> None:
        """Removes the delay."""
        self.set_fake('store', delay=0.0)


@FAULTS.register('cold_start')
class ColdStart(Fault):
    """Puts an engine through an unannounced cold start."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the backend server of an engine."""
        number = rng.randrange(deployment.engines)
        return f'{deployment.name}-lm-{number}-server'

    def inject(self) -> None:
        """Triggers the cold start."""
        self.set_fake(self.target, cold_start=True)

    def remove(self) -> None:
        """Does nothing; the cold start ends without intervention."""


@FAULTS.register('slow_engine')
class SlowEngine(ColdStart):
    """Slows an engine down."""

    def inject(self) -> None:
        """Makes the engine eight times slower."""
        self.set_fake(self.target, slow=8.0)

    def remove(self) -> None:
        """Restores the speed of the engine."""
        self.set_fake(self.target, slow=1.0)


@FAULTS.register('silence')
class Silence(Fault):
    """Stops all traffic on the open data connections of an agent.

    The connections stay open and never carry data again. Needs an agent
    behind a proxy; new connections work.
    """

    def inject(self) -> None:
        """Withholds all data that is sent on open connections."""
        self.set_fake(f'{self.target}-proxy', silence='both')

    def remove(self) -> None:
        """Does nothing; the affected connections carry no data again."""


@FAULTS.register('hosts_down')
class HostsDown(Fault):
    """Makes the host list unavailable, so that its readers get outdated."""

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the host list."""
        return 'hosts'

    def inject(self) -> None:
        """Makes the host list refuse every read."""
        self.set_fake('hosts', down=True)

    def remove(self) -> None:
        """Makes the host list respond again."""
        self.set_fake('hosts', down=False)


@FAULTS.register('hosts_empty')
class HostsEmpty(HostsDown):
    """Makes the host list return no hosts."""

    def inject(self) -> None:
        """Empties the responses of the host list."""
        self.set_fake('hosts', empty=True)

    def remove(self) -> None:
        """Makes the host list return its hosts again."""
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
    """Withdraws a model version and reactivates it."""

    seconds = (7.0, 12.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns a model version."""
        return rng.choice(deployment.versions).name

    def inject(self) -> None:
        """Withdraws the version."""
        self.change('modelversion', self.target, {}, 'withdraw')

    def remove(self) -> None:
        """Reactivates the version."""
        self.change('modelversion', self.target, {}, 'reopen')


@FAULTS.register('rollout')
class Rollout(Fault):
    """Starts a rollout from the first to the second version and halts it."""

    seconds = (4.0, 8.0)

    @classmethod
    def choose_target(
        cls, deployment: deployments.Deployment, rng: random.Random
    ) -> str:
        """Returns the name of the rollout."""
        return f'{deployment.name}-rollout'

    def inject(self) -> None:
        """Starts the rollout with a quarter of the sessions."""
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

    def _make_url(self, gateway: str) -> str:
        base = self.fleet.members[gateway].url('admin')
        return f'{base}/api/v1/organisation/{self.target}'

    def _read(self) -> dict:
        status, body = fleet.call_json(
            'GET',
            self._make_url(self.deployment.gateways()[0]),
            headers={'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
        )
        if status != 200:
            raise RuntimeError(
                f'reading {self.target}: expected status 200, got {status}: '
                f'{body}'
            )
        return body

    def _send_weight(self, gateway: str, state: dict, weight: float) -> None:
        self.send_change(
            'organisation',
            self.target,
            self._make_url(gateway),
            {**state['resource'], 'weight': weight},
            '',
            {'if-match': str(state['changed_at'])},
        )

    def inject(self) -> None:
        """Changes a weight through two gateways, from one known revision."""
        state = self._read()
        threads = [
            threading.Thread(
                target=self._send_weight, args=(gateway, state, weight)
            )
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
) -> list[PlannedFault]:
    """Returns the faults of a run in the order of their choice.

    A target has at most one fault at a time.

    Args:
        deployment: Deployment to run the faults in.
        seed: Seed; the same seed gives the same faults.
        seconds: Time from the start of the run by which all faults end.
        names: Faults to choose from, all by default.
        lanes: Number of lanes, each with one active fault at a time.
    """
    rng = random.Random(seed)
    free_at = [rng.uniform(0.5, 2.0) for _ in range(lanes)]
    planned: list[PlannedFault] = []
    remaining: list[str] = []
    while min(free_at) < seconds:
        lane = free_at.index(min(free_at))
        if not remaining:
            # Every fault is chosen once before any is chosen again.
            remaining = sorted(names or FAULTS)
            rng.shuffle(remaining)
        name = remaining.pop()
        fault_class = FAULTS.get(name)
        start = free_at[lane]
        end = start + rng.uniform(*fault_class.seconds)
        target = fault_class.choose_target(deployment, rng)
        free_at[lane] = end + rng.uniform(0.3, 1.5)
        fault_seed = rng.randrange(2**32)
        is_busy = any(p.target == target and p.end > start for p in planned)
        if not is_busy and end <= seconds:
            planned.append(
                PlannedFault(lane, start, end, name, target, fault_seed)
            )
    return planned


class FaultInjector:
    """Injects and removes scheduled faults, with one thread for each lane.

    A fault that takes longer than scheduled delays only its lane and later
    faults of its target.

    Args:
        processes: Running processes.
        deployment: Deployment of the processes.
        planned: Scheduled faults.
        journal: Journal to which changes and faults are added.

    Attributes:
        log: Seconds from the start, and the operation at that time.
        problems: Operations that failed.
    """

    def __init__(
        self,
        processes: fleet.Fleet,
        deployment: deployments.Deployment,
        planned: list[PlannedFault],
        journal: Journal,
    ):
        self.log: list[tuple[float, str]] = []
        self.problems: list[str] = []
        self._fleet = processes
        self._deployment = deployment
        self._planned = planned
        self._journal = journal
        self._locks = collections.defaultdict(threading.Lock)
        self._threads: list[threading.Thread] = []
        self._start = 0.0

    def start(self) -> None:
        """Starts the threads of the lanes."""
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

    def _run(self, planned: PlannedFault) -> None:
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
        self._call_fault('inject', planned, fault.inject)
        self._sleep_until(planned.end)
        self._call_fault('remove', planned, fault.remove)
        span.end = time.time()

    def _call_fault(
        self, action: str, planned: PlannedFault, operation
    ) -> None:
        now = round(time.monotonic() - self._start, 2)
        self.log.append((now, f'{action} {planned.describe()}'))
        try:
            operation()
        except (OSError, RuntimeError, ValueError, TimeoutError) as exc:
            # A run whose faults were not injected must not pass.
            self.problems.append(f'{action} {planned.describe()}: {exc!r}')

    def _sleep_until(self, seconds: float) -> None:
        time.sleep(max(0.0, self._start + seconds - time.monotonic()))

"""Faults for long randomised runs over real processes."""

import abc
import random
import signal
import time

from bench import deployments
from bench import fleet
from chivejunction import registry

FAULTS: registry.Registry[type['Fault']] = registry.Registry('fault')


class Fault(abc.ABC):
    """A fault that is injected and then removed.

    Args:
        started: Running processes.
        deployment: Deployment to disturb.
        random_source: Seeded source of choices.
    """

    seconds = (2.0, 6.0)

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        random_source: random.Random,
    ):
        self.fleet = started
        self.deployment = deployment
        self.random = random_source
        self.target = self.choose_target()

    def choose_target(self) -> str:
        """Returns what the fault hits."""
        return self.random.choice(self.deployment.agents())

    def describe(self) -> str:
        """Returns name and target, for the log of a run."""
        return f'{type(self).__name__}({self.target})'

    @abc.abstractmethod
    def inject(self) -> None:
        """Injects the fault."""

    @abc.abstractmethod
    def remove(self) -> None:
        """Removes the fault."""

    def set_fake(self, member: str, **faults) -> None:
        """Sets fault switches of a fake."""
        url = f'{self.fleet.members[member].url()}/faults'
        fleet.call_json('POST', url, faults)


@FAULTS.register('agent_kill')
class AgentKill(Fault):
    """Kills an agent and starts it again as a new incarnation."""

    def inject(self) -> None:
        """Kills the agent."""
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
        self.fleet.signal(self.target, signal.SIGTERM)

    def remove(self) -> None:
        """Waits for the end of the process and starts it again."""
        self.fleet.members[self.target].process.wait(fleet.STOP_SECONDS)
        self.fleet.restart(self.target)


@FAULTS.register('gateway_kill')
class GatewayKill(AgentKill):
    """Kills a gateway and starts it again as a new incarnation."""

    def choose_target(self) -> str:
        """Returns a gateway other than the first one."""
        return self.random.choice(self.deployment.gateways()[1:])


@FAULTS.register('gateway_freeze')
class GatewayFreeze(AgentFreeze):
    """Stops a gateway for longer than the silence limit of its links."""

    def choose_target(self) -> str:
        """Returns a gateway other than the first one."""
        return self.random.choice(self.deployment.gateways()[1:])


@FAULTS.register('gateway_restart')
class GatewayRestart(AgentRestart):
    """Stops a gateway gracefully and starts it again."""

    def choose_target(self) -> str:
        """Returns a gateway other than the first one."""
        return self.random.choice(self.deployment.gateways()[1:])


@FAULTS.register('store_outage')
class StoreOutage(Fault):
    """Takes the key-value store down."""

    def choose_target(self) -> str:
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

    def choose_target(self) -> str:
        """Returns the server of an engine."""
        number = self.random.randrange(self.deployment.engines)
        return f'{self.deployment.name}-lm-{number}-server'

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


@FAULTS.register('domain_drain')
class DomainDrain(Fault):
    """Closes a failure domain and reopens it."""

    def choose_target(self) -> str:
        """Returns a failure domain."""
        return self.random.choice(list(self.deployment.domains))

    def _set_state(self, state: str) -> None:
        region = self.deployment.domains[self.target]
        deadline = time.monotonic() + 30
        while True:
            try:
                self.fleet.put(
                    self.deployment.gateways()[0],
                    'failuredomain',
                    self.target,
                    region=region,
                    state=state,
                )
                return
            except (RuntimeError, OSError):
                # The store may be down at the same time.
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.5)

    def inject(self) -> None:
        """Closes the failure domain."""
        self._set_state('closed')

    def remove(self) -> None:
        """Reopens the failure domain."""
        self._set_state('open')


@FAULTS.register('operator_race')
class OperatorRace(Fault):
    """Two operators change the same resource at the same time."""

    seconds = (0.5, 1.0)

    def choose_target(self) -> str:
        """Returns an organisation."""
        return self.random.choice(list(self.deployment.organisations))

    def _change(self, gateway: str, weight: float) -> None:
        url = (
            f'{self.fleet.members[gateway].url("admin")}'
            f'/api/v1/organisation/{self.target}'
        )
        headers = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
        status, body = fleet.call_json('GET', url, headers=headers)
        if status != 200:
            return
        value = {**body['resource'], 'weight': weight}
        headers['if-match'] = str(body['changed_at'])
        fleet.call_json('PUT', url, value, headers)

    def inject(self) -> None:
        """Changes a weight through two gateways."""
        for gateway in self.deployment.gateways()[:2]:
            try:
                self._change(gateway, self.random.choice((1.0, 2.0, 4.0)))
            except OSError:
                continue

    def remove(self) -> None:
        """Restores the declared weight."""
        try:
            self._change(
                self.deployment.gateways()[0],
                self.deployment.organisations[self.target],
            )
        except OSError:
            return


class Driver:
    """Injects seeded faults, up to two at a time, never twice on one target.

    Args:
        started: Running processes.
        deployment: Deployment to disturb.
        seed: Seed of the choices; the same seed gives the same sequence.
        names: Faults to choose from, all by default.
    """

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        seed: int,
        names: list[str] | None = None,
    ):
        self.log: list[tuple[float, str]] = []
        self._fleet = started
        self._deployment = deployment
        self._random = random.Random(seed)
        self._names = names or list(FAULTS)
        self._active: list[tuple[float, Fault]] = []

    def step(self, now: float) -> None:
        """Removes faults that are due and injects new ones.

        Args:
            now: Seconds since the start of the run.
        """
        for entry in list(self._active):
            if entry[0] <= now:
                self._active.remove(entry)
                self._note(now, 'remove', entry[1])
                entry[1].remove()
        if len(self._active) < 2 and self._random.random() < 0.3:
            self._inject(now)

    def _inject(self, now: float) -> None:
        cls = FAULTS.get(self._random.choice(self._names))
        fault = cls(self._fleet, self._deployment, self._random)
        length = self._random.uniform(*fault.seconds)
        if any(f.target == fault.target for _, f in self._active):
            return
        self._note(now, 'inject', fault)
        fault.inject()
        self._active.append((now + length, fault))

    def finish(self) -> None:
        """Removes all faults."""
        for _, fault in self._active:
            self._note(0.0, 'remove', fault)
            fault.remove()
        self._active.clear()

    def _note(self, now: float, what: str, fault: Fault) -> None:
        self.log.append((round(now, 2), f'{what} {fault.describe()}'))

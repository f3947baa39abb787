"""Randomised run over real processes: ``python -m bench.soak --seed 1``.

Starts a deployment, sends chats and plain-service calls through all its
gateways, injects and removes seeded faults, two at a time, and checks the
invariants of section 1.1 of docs/design.md. Prints the seed, the faults with
their times and one JSON object with the results. The exit status is 1 if an
invariant was violated.
"""

import collections
import dataclasses
import json
import pathlib
import random
import re
import signal
import sys
import threading
import time
import urllib.request

import anyio
from anyio import to_thread
import fire
import httpcore

from bench import chaos
from bench import deployments
from bench import fleet
from bench import invariants
from bench import load

POLL_SECONDS = 0.5
RECOVERY_TIMEOUT_SECONDS = 30.0
# Usage records are flushed and transferred in the background.
BILLING_TIMEOUT_SECONDS = 20.0
# Time at the end of the load in which no fault is active.
FAULT_FREE_SECONDS = 4.0
CHATS_PER_SECOND = 10.0
CALLS_PER_SECOND = 4.0
DEADLINE_MS = 15_000
HOST_LIST_LAG_SECONDS = 2.0
REVISION_PATTERN = re.compile(
    r'^chivejunction_config_revision (\S+)$', re.MULTILINE
)
VIOLATION_COUNT_PATTERN = re.compile(
    r'^\S*invariant_violations_total\{[^}]*\} (\S+)$', re.MULTILINE
)


def list_restrictions(deployment: deployments.Deployment) -> dict[str, dict]:
    """Returns the fields that restrict two organisations, by name."""
    first, second = list(deployment.organisations)[-2:]
    allowed_model = deployment.versions[0].model
    denied_version = deployment.versions[1].name
    return {
        first: {'denied_versions': [denied_version]},
        second: {'models': [allowed_model]},
    }


def list_allowed_versions(
    deployment: deployments.Deployment,
) -> dict[str, frozenset[str]]:
    """Returns the versions that each organisation may use."""
    restrictions = list_restrictions(deployment)
    return {
        name: frozenset(
            v.name
            for v in deployment.versions
            if v.name
            not in restrictions.get(name, {}).get('denied_versions', ())
            and v.model in restrictions.get(name, {}).get('models', [v.model])
        )
        for name in deployment.organisations
    }


class ServiceLoad:
    """Sends plain-service calls, some of them twice with one idempotency key.

    Args:
        urls: Base URLs of the gateways.
        deployment: Deployment with the service.
        seed: Seed of all random choices.
        seconds: Time in which calls are started.
        rate: Calls per second.
    """

    def __init__(
        self,
        urls: list[str],
        deployment: deployments.Deployment,
        seed: int,
        seconds: float,
        rate: float = CALLS_PER_SECOND,
    ):
        self.calls: list[invariants.ServiceCall] = []
        self._urls = urls
        self._deployment = deployment
        self._seed = seed
        self._seconds = seconds
        self._rate = rate
        self._rng = random.Random(f'calls-{seed}')
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def run(self) -> None:
        """Sends all calls and waits until they have ended."""
        due = start = time.monotonic()
        async with self._pool, anyio.create_task_group() as group:
            while due < start + self._seconds:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                group.start_soon(self._call, *self._choose())
                due += self._rng.expovariate(self._rate)
            group.cancel_scope.deadline = (
                anyio.current_time() + load.COMPLETION_TIMEOUT_SECONDS
            )

    def _choose(self) -> tuple[invariants.ServiceCall, list, dict]:
        rng = self._rng
        repeatable = rng.random() < 0.3
        organisation = rng.choice(list(self._deployment.organisations))
        call = invariants.ServiceCall(
            f'call-{self._seed}-{len(self.calls)}', repeatable, organisation
        )
        self.calls.append(call)
        key = self._deployment.credential_of(organisation)
        headers = {
            'authorization': f'Bearer {key}',
            'x-business-key': call.key,
            'x-deadline-ms': str(DEADLINE_MS),
        }
        gateways = rng.sample(self._urls, 2)
        if repeatable or rng.random() < 0.5:
            return call, gateways[:1], headers
        headers['idempotency-key'] = call.key
        return call, gateways, headers

    async def _call(self, call, gateways: list[str], headers: dict) -> None:
        async with anyio.create_task_group() as group:
            for gateway in gateways:
                # Requests with one key overlap, as those of a client do that
                # retries before the first response.
                group.start_soon(self._send, call, gateway, headers)
                await anyio.sleep(0.01)

    async def _send(self, call, gateway: str, headers: dict) -> None:
        index = len(call.outcomes)
        call.outcomes.append('broken')
        try:
            response = await self._pool.request(
                'GET' if call.repeatable else 'POST',
                f'{gateway}/services/{self._deployment.service}/deposits',
                headers=list(headers.items()),
                content=b'' if call.repeatable else b'{"amount": 100}',
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            call.outcomes[index] = 'unreachable'
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        else:
            call.outcomes[index] = classify_response(
                call, response.status, response.content
            )


def classify_response(
    call: invariants.ServiceCall, status: int, content: bytes
) -> str:
    """Returns the outcome of a request, as in ServiceCall.outcomes."""
    if status != 200:
        return load.read_refusal(status, content)
    try:
        return (
            'answered' if json.loads(content)['key'] == call.key else 'crossed'
        )
    except (ValueError, KeyError):
        return 'crossed'


class MetricsPoller(threading.Thread):
    """Reads the metrics of gateways and agents until it is stopped.

    Args:
        processes: Running processes.
        members: Names of gateways and agents.
        journal: Holds the processes that are expected to end.
    """

    def __init__(
        self,
        processes: fleet.Fleet,
        members: list[str],
        journal: chaos.Journal,
    ):
        super().__init__()
        self.readings: list[invariants.Reading] = []
        self.ended: dict[int, str] = {}
        self._fleet = processes
        self._members = members
        self._journal = journal
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Ends the thread, then reads each process once more."""
        self._stopped.set()
        self.join()
        self.poll()

    def run(self) -> None:
        """Reads all processes at intervals of POLL_SECONDS until stopped."""
        while not self._stopped.wait(POLL_SECONDS):
            self.poll()

    def poll(self) -> None:
        """Reads each process once and records those that have ended."""
        for member in list(self._fleet.members.values()):
            pid, status = member.process.pid, member.process.poll()
            if status is not None and pid not in self._journal.stopped:
                self.ended[pid] = f'{member.name} ended with {status}'
        for name in self._members:
            self._read(name)

    def _read(self, name: str) -> None:
        member = self._fleet.members[name]
        pid = member.process.pid
        try:
            with urllib.request.urlopen(
                f'{member.url("admin")}/metrics', timeout=1
            ) as response:
                text = response.read().decode()
        except OSError:
            return
        if self._fleet.members[name].process.pid != pid:
            # The process was restarted during the read.
            return
        revision = REVISION_PATTERN.search(text)
        self.readings.append(
            invariants.Reading(
                name,
                pid,
                int(float(revision[1])) if revision else 0,
                sum(float(v) for v in VIOLATION_COUNT_PATTERN.findall(text)),
            )
        )


class Soak:
    """One randomised run.

    Args:
        processes: Fleet without processes.
        deployment: Deployment to start.
        seed: Seed of faults and requests.
        seconds: Duration of the load.
        fault_names: Faults to choose from, all by default.
    """

    def __init__(
        self,
        processes: fleet.Fleet,
        deployment: deployments.Deployment,
        seed: int,
        seconds: float,
        fault_names: list[str] | None = None,
    ):
        self.fleet = processes
        self.deployment = deployment
        self.journal = chaos.Journal()
        self.planned = chaos.plan_faults(
            deployment, seed, seconds - FAULT_FREE_SECONDS, fault_names
        )
        self.fault_injector = chaos.FaultInjector(
            processes, deployment, self.planned, self.journal
        )
        self.problems: list[str] = []
        self.probes: dict[str, invariants.Bill] = {
            name: invariants.Bill() for name in deployment.organisations
        }
        self._seed = seed
        self._seconds = seconds

    def run(self) -> invariants.Records:
        """Starts the deployment, runs it and returns the records."""
        self._start()
        gateways = self.deployment.gateways()
        urls = [self.fleet.members[g].url() for g in gateways]
        chats = load.LoadGenerator(self._make_workload(urls))
        service_load = ServiceLoad(
            urls, self.deployment, self._seed, self._seconds
        )
        poller = MetricsPoller(
            self.fleet, gateways + self.deployment.agents(), self.journal
        )
        poller.start()
        try:
            anyio.run(self._send, chats, service_load)
            self._wait_for_recovery()
        finally:
            poller.stop()
        records = invariants.Records(
            allowed=list_allowed_versions(self.deployment),
            domains={
                a: self.deployment.domain_of(a)
                for a in self.deployment.agents()
            },
            gateways=gateways,
            samples=chats.samples,
            calls=service_load.calls,
            journal=self.journal,
            readings=poller.readings,
            ended=list(poller.ended.values()),
            problems=self.problems + self.fault_injector.problems,
        )
        self._collect(records)
        return records

    def _start(self) -> None:
        self.fleet.start_platform(lag=HOST_LIST_LAG_SECONDS)
        deployments.start(
            self.fleet,
            self.deployment,
            engine_options={'cold_seconds': 3.0, 'cold_factor': 3.0},
            proxied=True,
        )
        gateway = self.deployment.gateways()[0]
        for item in deployments.list_resources(self.deployment):
            restrictions = list_restrictions(self.deployment).get(item['name'])
            if item['kind'] == 'organisation' and restrictions:
                value = {k: v for k, v in item.items() if k != 'kind'}
                name = value.pop('name')
                self.fleet.put(
                    gateway, 'organisation', name, **{**value, **restrictions}
                )
        self.fleet.wait_until(
            self._is_in_force, 'the restrictions of organisations are in force'
        )

    def _make_workload(self, urls: list[str]) -> load.Workload:
        return load.Workload(
            urls=urls,
            organisations={
                self.deployment.credential_of(name): weight
                for name, weight in self.deployment.organisations.items()
            },
            seed=self._seed,
            rate=CHATS_PER_SECOND,
            seconds=self._seconds,
            sessions=24,
            tokens=60,
            deadline_ms=DEADLINE_MS,
        )

    async def _send(
        self, chats: load.LoadGenerator, service_load: ServiceLoad
    ) -> None:
        self.fault_injector.start()
        async with anyio.create_task_group() as group:
            group.start_soon(chats.run)
            group.start_soon(service_load.run)
        await to_thread.run_sync(self.fault_injector.join)

    def _get(self, gateway: str, path: str) -> tuple[int, dict]:
        return fleet.call_json(
            'GET',
            f'{self.fleet.members[gateway].url("admin")}/api/v1/{path}',
            headers={'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
            seconds=2,
        )

    def _is_in_force(self) -> bool:
        statuses = [
            self._get(g, 'status')[1] for g in self.deployment.gateways()
        ]
        return (
            all(s.get('in_force') for s in statuses)
            and len({s['revision'] for s in statuses}) == 1
        )

    def _wait_for_recovery(self) -> None:
        """Waits until the system has recovered; records a problem if not."""
        try:
            deadline = time.monotonic() + RECOVERY_TIMEOUT_SECONDS
            deployments.wait_until_ready(
                self.fleet, self.deployment, RECOVERY_TIMEOUT_SECONDS
            )
            self._wait_until(
                'the configuration is in force', self._is_in_force
            )
            for name in self.deployment.organisations:
                self._wait_until(
                    f'a request of {name} is answered',
                    lambda n=name: self._send_probe(n),
                )
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'recovery took more than {RECOVERY_TIMEOUT_SECONDS} s'
                )
        except (TimeoutError, OSError) as exc:
            states = {g: self._describe(g) for g in self.deployment.gateways()}
            self.problems.append(
                f'no recovery after the faults: {exc} {states}'
            )

    def _wait_until(
        self, condition: str, check, seconds: float = RECOVERY_TIMEOUT_SECONDS
    ) -> None:
        def try_check() -> bool:
            try:
                return check()
            except OSError:
                return False

        self.fleet.wait_until(try_check, condition, seconds)

    def _describe(self, gateway: str) -> dict:
        try:
            return {
                **self._get(gateway, 'status')[1],
                'health': self.fleet.read_health(gateway),
            }
        except OSError as exc:
            return {'error': repr(exc)}

    def _send_probe(self, organisation: str) -> bool:
        gateway = self.fleet.members[self.deployment.gateways()[-1]]
        key = self.deployment.credential_of(organisation)
        bill = self.probes[organisation]
        bill.uncertain += 1
        status, _ = fleet.call_json(
            'POST',
            f'{gateway.url()}/v1/chat/completions',
            {
                'model': 'auto',
                'messages': [{'role': 'user', 'content': f'{key} สวัสดี'}],
                'max_tokens': 4,
            },
            {'authorization': f'Bearer {key}'},
        )
        if status == 200:
            bill.uncertain -= 1
            bill.answered += 1
        return status == 200

    def _collect_bills(self, records: invariants.Records) -> None:
        """Reads usage until all answered requests are billed, or times out."""
        records.bills = count_requests(records, self.deployment, self.probes)

        def is_billed() -> bool:
            usage = self._get(self.deployment.gateways()[0], 'usage')[1]
            for name, bill in records.bills.items():
                targets = usage['organisations'].get(name, {})
                bill.billed = sum(t['requests'] for t in targets.values())
            return all(b.billed >= b.answered for b in records.bills.values())

        try:
            self._wait_until(
                'all answered requests are billed',
                is_billed,
                BILLING_TIMEOUT_SECONDS,
            )
        except TimeoutError:
            # The check billed_once reports the organisations.
            return

    def _collect(self, records: invariants.Records) -> None:
        names = self.deployment.organisations
        keys = {self.deployment.credential_of(name): name for name in names}
        for i, agent in enumerate(self.deployment.agents()):
            url = self.fleet.members[f'{agent}-server'].url()
            runs = fleet.call_json('GET', f'{url}/runs')[1]
            if i < self.deployment.engines:
                records.runs += [
                    invariants.Run(
                        agent,
                        find_organisation(run['opening'], keys),
                        run['version'],
                        run['start'],
                        run['attempt'],
                    )
                    for run in runs
                ]
                continue
            for key, attempts in runs.items():
                records.service_runs.setdefault(key, []).extend(attempts)
        self._collect_final_resources(records)
        self._collect_bills(records)
        records.logs = {
            name: member.log.read_text(errors='replace')
            for name, member in self.fleet.members.items()
        }

    def _collect_final_resources(self, records: invariants.Records) -> None:
        """Reads changed resources at every gateway and keeps the oldest state.

        With the newest state, the check would miss a gateway that has lost
        a change while another one still has it.
        """
        for change in self.journal.changes:
            key = f'{change.kind}/{change.name}'
            for gateway in self.deployment.gateways():
                state = self._get(gateway, key)[1]
                state = {
                    'changed_at': state.get('changed_at', 0),
                    'resource': state.get('resource'),
                }
                oldest = records.final.get(key, state)
                if state['changed_at'] <= oldest['changed_at']:
                    records.final[key] = state


def count_requests(
    records: invariants.Records,
    deployment: deployments.Deployment,
    probes: dict[str, invariants.Bill],
) -> dict[str, invariants.Bill]:
    """Returns the answered and uncertain requests of each organisation.

    Args:
        records: Records with the chats and calls of the callers.
        deployment: Deployment with the credentials.
        probes: Requests that were sent to test the recovery.
    """
    bills = {name: dataclasses.replace(b) for name, b in probes.items()}
    keys = {deployment.credential_of(name): name for name in bills}
    outcomes = [
        (keys[s.credential], [s.code if s.kind == 'refused' else s.kind])
        for s in records.samples
    ]
    # Two attempts with one idempotency key are billed as one request.
    outcomes += [(c.organisation, c.outcomes) for c in records.calls]
    for name, attempts in outcomes:
        if 'answered' in attempts:
            bills[name].answered += 1
        elif not all(
            o == 'unreachable' or o.endswith('/not_run') for o in attempts
        ):
            bills[name].uncertain += 1
    return bills


def find_organisation(opening: str, keys: dict[str, str]) -> str:
    """Returns the organisation whose credential is in a system prompt.

    Args:
        opening: Start of the first message of a chat.
        keys: Credential to organisation.
    """
    words = opening.replace('.', ' ').split()
    return next((keys[w] for w in words if w in keys), '')


def summarise(records: invariants.Records) -> dict:
    """Returns the counts of a run."""
    kinds = collections.Counter(s.kind for s in records.samples)
    # A break that the caller can detect is not a violation by itself.
    kinds['broken'] = kinds.pop('cut', 0) + kinds.pop('lost', 0)
    return {
        'chats': dict(kinds),
        'refusals': dict(
            collections.Counter(s.code for s in records.samples if s.code)
        ),
        'calls': dict(
            collections.Counter(o for c in records.calls for o in c.outcomes)
        ),
        'engine_runs': len(records.runs),
        'service_runs': sum(map(len, records.service_runs.values())),
        'changes': {
            'accepted': sum(
                c.accepted is not None for c in records.journal.changes
            ),
            'refused_or_unknown': sum(
                c.accepted is None for c in records.journal.changes
            ),
        },
        'sessions': len({s.session for s in records.samples if s.session}),
        'billed': {n: b.billed for n, b in records.bills.items()},
        'answered': {n: b.answered for n, b in records.bills.items()},
        'readings': len(records.readings),
        'faults': dict(
            collections.Counter(s.fault for s in records.journal.spans)
        ),
    }


def run(
    seed: int = 1,
    minutes: float = 1.0,
    user: str = 'siam',
    engines: int = 4,
    services: int = 2,
    faults: str = '',
    folder: str = '',
) -> None:
    """Makes one run and prints its result.

    Args:
        seed: Seed of faults and requests.
        minutes: Duration of the load in minutes.
        user: Name of the deployment.
        engines: Number of engines.
        services: Number of servers of the plain service.
        faults: Names of faults, separated by commas; all by default.
        folder: Folder for logs and records, a temporary one by default.
    """
    deployment = deployments.scale(
        deployments.DEPLOYMENTS[user], engines, services
    )
    fault_names = (
        faults.split(',') if isinstance(faults, str) else list(faults)
    )
    if folder:
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    log_folder = pathlib.Path(folder) if folder else None
    # Raises SystemExit, so that the fleet ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with fleet.Fleet(log_folder) as processes:
        soak = Soak(
            processes,
            deployment,
            seed,
            minutes * 60,
            list(filter(None, fault_names)),
        )
        print(f'seed {seed}, logs in {processes.folder}')
        for planned in soak.planned:
            print(f'plan {planned.start:6.2f} {planned.describe()}')
        records = soak.run()
    for when, what in sorted(soak.fault_injector.log):
        print(f'done {when:6.2f} {what}')
    violations = invariants.check_all(records)
    result = {'seed': seed, **summarise(records), 'violations': violations}
    trace = {
        **dataclasses.asdict(records),
        'logs': sorted(records.logs),
        'allowed': {k: sorted(v) for k, v in records.allowed.items()},
        'journal': {
            'changes': [dataclasses.asdict(c) for c in soak.journal.changes],
            'spans': [dataclasses.asdict(s) for s in soak.journal.spans],
        },
    }
    (processes.folder / 'records.json').write_text(
        json.dumps(trace, default=str)
    )
    print(json.dumps(result, ensure_ascii=False))
    for violation in violations:
        print(f'VIOLATION {violation}')
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    fire.Fire(run)

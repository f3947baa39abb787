"""Tests of the judgement which prompt parts crash engines."""

import json
import pathlib

import pytest

from chivejunction.state import crash_evidence
from tests.test_bulletins import VirtualTime

CLASS_PART, SUBJECT, OTHER_SUBJECT = 1, 2, 3


@pytest.fixture
def virtual_time(monkeypatch):
    return VirtualTime(monkeypatch)


class Evidence(crash_evidence.CrashEvidence):
    """Evidence with crashes that are a second apart."""

    def __init__(self, virtual_time):
        super().__init__()
        self._virtual_time = virtual_time

    def add_crash(self, server, request, parts, has_begun=True, after=1.0):
        """Adds a report of a crash at the current time."""
        self._virtual_time.now += after
        self.add(
            crash_evidence.CrashReport(
                server, request, parts, has_begun, self._virtual_time.now
            )
        )

    def judge(self, known=()):
        """Returns the harmful parts once other gateways had a say."""
        self._virtual_time.now += crash_evidence.SETTLE_SECONDS
        return self.find_harmful(frozenset(known))


class TestFinding:
    def test_part_of_several_requests(self, virtual_time):
        evidence = Evidence(virtual_time)
        evidence.add_crash(1, 91, (CLASS_PART, SUBJECT))
        evidence.add_crash(2, 91, (CLASS_PART, SUBJECT))
        evidence.record_success(CLASS_PART)
        assert evidence.judge() == []
        evidence.add_crash(3, 92, (CLASS_PART, SUBJECT))
        assert evidence.judge() == [SUBJECT]

    def test_shared_part_without_successes_is_not_blamed(self, virtual_time):
        """A gateway may see no success of the other requests at all."""
        evidence = Evidence(virtual_time)
        for number in range(5):
            evidence.add_crash(number, 90 + number, (CLASS_PART, SUBJECT))
        assert evidence.judge() == [SUBJECT]
        for number in range(5, 9):
            evidence.add_crash(number, 90 + number, (CLASS_PART, SUBJECT))
        assert evidence.judge({SUBJECT}) == []

    def test_success_refutes_earlier_crashes_only(self, virtual_time):
        evidence = Evidence(virtual_time)
        for number in range(3):
            evidence.add_crash(number, 90 + number, (SUBJECT,))
        assert evidence.record_success(SUBJECT)
        assert not evidence.record_success(SUBJECT)
        assert evidence.judge() == []
        for number in range(3, 6):
            evidence.add_crash(number, 90 + number, (SUBJECT,))
        assert evidence.judge() == [SUBJECT]

    def test_waiting_requests_weigh_less(self, virtual_time):
        """At the fifth crash at the latest, though no head has arrived."""
        evidence = Evidence(virtual_time)
        for number in range(4):
            evidence.add_crash(number, 90 + number, (SUBJECT,), False)
        assert evidence.judge() == []
        evidence.add_crash(4, 94, (SUBJECT,), False)
        assert evidence.judge() == [SUBJECT]

    def test_loss_of_a_rack_counts_once(self, virtual_time):
        evidence = Evidence(virtual_time)
        for number in range(9):
            evidence.add_crash(number, 90 + number, (SUBJECT,), after=0.001)
        assert evidence.judge() == []

    def test_request_that_crashes_servers_in_a_row(self, virtual_time):
        evidence = Evidence(virtual_time)
        evidence.add_crash(1, 91, (SUBJECT,), after=0.01)
        assert not evidence.is_suspect_request(91)
        evidence.add_crash(2, 91, (SUBJECT,), after=0.01)
        assert evidence.is_suspect_request(91)
        assert not evidence.is_suspect_request(92)
        evidence.record_success(91)
        assert not evidence.is_suspect_request(91)

    def test_server_that_crashes_again_counts_again(self, virtual_time):
        """Its entry in the store may still be that of the first process."""
        evidence = Evidence(virtual_time)
        for number in range(3):
            evidence.add_crash(1, 90 + number, (SUBJECT,))
        assert evidence.judge() == [SUBJECT]

    def test_reports_expire(self, virtual_time):
        evidence = Evidence(virtual_time)
        for number in range(2):
            evidence.add_crash(number, 90 + number, (SUBJECT,))
        evidence.add_crash(
            3, 93, (SUBJECT,), after=crash_evidence.REPORT_TTL_SECONDS
        )
        assert evidence.judge() == []

    def test_memory_is_bounded(self, virtual_time):
        evidence = Evidence(virtual_time)
        for number in range(20_000):
            evidence.add_crash(number, number, (number,), after=0.0)
            evidence.record_success(number)
        assert len(evidence._reports) == crash_evidence.MAX_REPORTS
        assert len(evidence._succeeded_at) == crash_evidence.MAX_SUCCESSES


class TestRecordedDay:
    """Replays the crashes of a day on which nobody was stopped.

    24 engines crashed; up to 30 other requests waited at each of them, some
    of these at several crashes.
    """

    record = json.loads(
        (
            pathlib.Path(__file__).parent / 'records/crashing_part.json'
        ).read_text()
    )

    def list_events(self, gateway):
        """Yields what one gateway sees: all reports, its own successes."""
        events = [(at, 'break', row) for at, *row in self.record['breaks']] + [
            (at, 'success', parts)
            for at, name, parts in self.record['successes']
            if gateway in (None, name)
        ]
        return sorted(events, key=lambda event: event[:2])

    @pytest.mark.parametrize('gateway', [None, 0, 1, 2, 3])
    def test_only_the_harmful_part_is_found(self, virtual_time, gateway):
        names = sorted({name for _, name, _ in self.record['successes']})
        name = None if gateway is None else names[gateway]
        harmful_part = self.record['harmful_part']
        evidence = crash_evidence.CrashEvidence()
        known, crashed_at, found_at = set(), {}, None
        for at, kind, row in self.list_events(name):
            virtual_time.now = at - 0.001
            for part in evidence.find_harmful(frozenset(known)):
                known.add(part)
                found_at = at
            virtual_time.now = at
            if kind == 'success':
                for part in row:
                    evidence.record_success(part)
                continue
            _, server, has_begun, parts = row
            crashed_at.setdefault(server, at)
            suspects = evidence.list_suspects(tuple(parts[:-1]))
            if suspects:
                evidence.add(
                    crash_evidence.CrashReport(
                        server, parts[-1], suspects, has_begun, at
                    )
                )
        assert known == {harmful_part}
        # The users allow 4 s (contact_ms) after the fifth crash.
        assert found_at <= sorted(crashed_at.values())[4] + 4


class TestTooManyParts:
    """Guards against a bound that drops the same part each time."""

    def test_part_named_before_is_kept(self, virtual_time):
        evidence = Evidence(virtual_time)
        evidence.add_crash(1, 91, (SUBJECT,))
        parts = (SUBJECT, *range(100, 300))
        for _ in range(20):
            suspects = evidence.list_suspects(parts)
            assert len(suspects) == crash_evidence.MAX_PARTS
            assert suspects[0] == SUBJECT

    def test_each_part_has_a_chance(self, virtual_time):
        evidence = Evidence(virtual_time)
        parts = tuple(range(100, 200))
        named = set()
        for _ in range(50):
            suspects = evidence.list_suspects(parts)
            assert list(suspects) == sorted(suspects)
            named.update(suspects)
        assert named == set(parts)

    def test_split_reports_are_one_crash(self, virtual_time):
        """A request in progress at one crash is not a suspect request."""
        evidence = Evidence(virtual_time)
        report = crash_evidence.CrashReport(
            1, 91, tuple(range(100, 140)), True, virtual_time.now
        )
        for part_report in report.split():
            evidence.add(part_report)
        assert not evidence.is_suspect_request(91)
        assert evidence.judge() == []

"""Estimates slowdowns of servers from the attempts of this entry and the reports of others."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.gateway import engine_times, load, outcomes, slow_reports, speed_samples
from toucanhold.registry import servers

# Slower servers are reported to other entries.
SLOW_FACTOR = 1.5
LOG_SLOW_FACTOR = math.log(SLOW_FACTOR)
# Weight of the assumption that a server is as fast as usual, in samples.
PRIOR_WEIGHT = 1.0
# Reports of other entries replace missing samples up to this number. An entry with as many samples
# of its own trusts these, and corrects reports that contradict them.
REPORT_WEIGHT = 4.0
# Times to an answer vary more than pauses between events.
ANSWER_WEIGHT = 0.5
# A pause that full steps of prefill can explain says less.
EXPLAINED_PAUSE_WEIGHT = 0.5
# Weight of a request in the moving average of the time that requests take.
USUAL_TIME_WEIGHT = 0.05

Incarnation = tuple[str, int]
# Service and model of servers that are compared with each other.
Kind = tuple[str, str]


def kind_of(server: servers.Server) -> Kind:
    """Return the kind of a server."""
    return server.service, server.model


@attrs.define(eq=False)
class SpeedEstimates(outcomes.AttemptObserver):
    """Slowdowns by server process, and the time that requests usually take by kind of server.

    :ivar reports: slow servers that other entries report
    """

    load_tracker: load.LoadTracker
    reports: slow_reports.ReportTable = attrs.field(factory=slow_reports.ReportTable, init=False)
    _samples: dict[Incarnation, speed_samples.Samples] = attrs.field(factory=dict, init=False)
    _baselines: dict[tuple[str, ...], speed_samples.Baseline] = attrs.field(
        factory=dict, init=False
    )
    # Natural logarithm of the time of a request on an idle server, as a fraction of its timeout.
    _usual_fractions: dict[Kind, float] = attrs.field(factory=dict, init=False)

    def on_first_event(self, attempt: outcomes.Attempt, elapsed_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        engine = attempt.service.engine
        if engine is not None and attempt.in_flight <= engine.slots and not attempt.is_resumed:
            baseline = self._answer_baseline(attempt)
            self._record_time(attempt.server, baseline, elapsed_s, 1.0, ANSWER_WEIGHT)
        model = engine.model(attempt.model) if engine is not None else None
        if model is None or attempt.prompt_tokens is None or attempt.output_tokens is None:
            return
        duration_s = engine_times.duration_s(
            engine, model, 1, attempt.prompt_tokens, attempt.output_tokens
        )
        self._record_duration(attempt, duration_s)

    def on_pause(self, attempt: outcomes.Attempt, pause_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        engine = attempt.service.engine
        model = engine.model(attempt.model) if engine is not None else None
        if model is None:
            return
        in_flight = self.load_tracker.estimate(attempt.server.server_id)
        expected_s = engine_times.pause_s(engine, model, in_flight)
        # Pieces that were read together are no evidence of the usual time either.
        if not expected_s > 0 or pause_s < speed_samples.MIN_RATIO * expected_s:
            return
        key = (attempt.service.name, attempt.model)
        baseline = self._baselines.setdefault(key, speed_samples.known_baseline())
        is_long = pause_s >= SLOW_FACTOR * expected_s
        is_explained = is_long and pause_s <= engine.longest_pause_s(model)
        weight = EXPLAINED_PAUSE_WEIGHT if is_explained else 1.0
        self._record_time(attempt.server, baseline, pause_s, expected_s, weight)

    def on_served(self, attempt: outcomes.Attempt, elapsed_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        if not attempt.is_resumed:
            slowdown = math.exp(max(0.0, self.log_slowdown(attempt.server.incarnation)))
            self._record_duration(attempt, elapsed_s / slowdown / _load_factor(attempt))
        if attempt.service.engine is None:
            baseline = self._answer_baseline(attempt)
            self._record_time(attempt.server, baseline, elapsed_s, 1.0, ANSWER_WEIGHT)

    def on_failed(self, attempt: outcomes.Attempt) -> None:
        """See :class:`outcomes.AttemptObserver`; a response in time would have taken longer."""
        if attempt.service.engine is not None:
            return
        elapsed_s = trio.current_time() - attempt.started_s
        baseline = self._answer_baseline(attempt)
        if elapsed_s > 0 and baseline.excess(math.log(elapsed_s)) > LOG_SLOW_FACTOR:
            self._record_time(attempt.server, baseline, elapsed_s, 1.0, ANSWER_WEIGHT)

    def log_slowdown(self, incarnation: Incarnation) -> float:
        """Return the logarithm of how many times as long as usual a server takes."""
        own = self._own_estimate(incarnation)
        reported = self.reports.find(incarnation)
        report_weight = max(0.0, REPORT_WEIGHT - own.weight) * reported.weight
        total = own.weight + report_weight + PRIOR_WEIGHT
        return (own.weight * own.log_slowdown + report_weight * reported.log_slowdown) / total

    def usual_fraction(self, kind: Kind) -> float:
        """Return the part of its timeout that a request takes on an idle server at full speed.

        :return: 0 if it is not known yet
        """
        log_fraction = self._usual_fractions.get(kind)
        return math.exp(log_fraction) if log_fraction is not None else 0.0

    def to_announce(self) -> list[slow_reports.SlowServer]:
        """Return slow servers, and as fast those that others report as slow by mistake."""
        announced = []
        reported_incarnations = self.reports.incarnations()
        # An aggregator sends hundreds of notices per second; most servers have no slow sample.
        slow_incarnations = {
            incarnation
            for incarnation, samples in self._samples.items()
            if samples.largest() >= LOG_SLOW_FACTOR
        }
        for incarnation in reported_incarnations | slow_incarnations:
            own = self._own_estimate(incarnation)
            reported = self.reports.find(incarnation)
            own_age_s = self._own_age_s(incarnation)
            report_age_s = self.reports.age_s(incarnation)
            is_own_slow = own.log_slowdown * own.weight >= LOG_SLOW_FACTOR * (
                own.weight + PRIOR_WEIGHT
            )
            is_reported_slow = reported.log_slowdown >= LOG_SLOW_FACTOR
            if is_own_slow and own_age_s <= report_age_s:
                announced.append(_report(incarnation, own.log_slowdown, own_age_s))
            elif is_reported_slow and not is_own_slow and own.weight >= REPORT_WEIGHT:
                announced.append(_report(incarnation, 0.0, own_age_s))
            elif reported.weight:
                announced.append(_report(incarnation, reported.log_slowdown, report_age_s))
        return announced

    def retain(self, is_known: collections.abc.Callable[[Incarnation], bool]) -> None:
        """Forget servers that are gone."""
        self.reports.retain(is_known)
        for incarnation in [each for each in self._samples if not is_known(each)]:
            del self._samples[incarnation]

    def _own_estimate(self, incarnation: Incarnation) -> speed_samples.Estimate:
        samples = self._samples.get(incarnation)
        if samples is None:
            return speed_samples.Estimate()
        return samples.estimate(trio.current_time())

    def _own_age_s(self, incarnation: Incarnation) -> float:
        samples = self._samples.get(incarnation)
        return trio.current_time() - samples.last_s if samples is not None else math.inf

    def _answer_baseline(self, attempt: outcomes.Attempt) -> speed_samples.Baseline:
        model = attempt.service.model_key(attempt.model)
        key = (attempt.service.name, model, attempt.route.name)
        return self._baselines.setdefault(key, speed_samples.Baseline())

    def _record_duration(self, attempt: outcomes.Attempt, duration_s: float) -> None:
        """Adapt the usual time; in logarithms, as some estimates of tokens are far off."""
        if not 0 < duration_s < math.inf or attempt.route.timeout_s <= 0:
            return
        log_fraction = math.log(duration_s / attempt.route.timeout_s)
        kind = kind_of(attempt.server)
        usual = self._usual_fractions.setdefault(kind, log_fraction)
        self._usual_fractions[kind] = usual + USUAL_TIME_WEIGHT * (log_fraction - usual)

    def _record_time(
        self,
        server: servers.Server,
        baseline: speed_samples.Baseline,
        taken_s: float,
        expected_s: float,
        weight: float,
    ) -> None:
        if not 0 < taken_s < math.inf:
            return
        log_ratio = math.log(taken_s / expected_s)
        now_s = trio.current_time()
        log_slowdown = baseline.excess(log_ratio)
        baseline.record(log_ratio, now_s)
        samples = self._samples.setdefault(server.incarnation, speed_samples.Samples())
        samples.add(log_slowdown, weight, taken_s, now_s)


def _load_factor(attempt: outcomes.Attempt) -> float:
    """Return how many times as long an attempt takes because of the server's other requests."""
    engine = attempt.service.engine
    model = engine.model(attempt.model) if engine is not None else None
    if model is None:
        return 1.0
    idle_s = engine_times.pause_s(engine, model, 1)
    return engine_times.pause_s(engine, model, attempt.in_flight) / idle_s if idle_s > 0 else 1.0


def _report(incarnation: Incarnation, log_slowdown: float, age_s: float) -> slow_reports.SlowServer:
    slowdown = round(math.exp(max(0.0, log_slowdown)), 2)
    return slow_reports.SlowServer(*incarnation, slowdown, round(max(0.0, age_s), 3))

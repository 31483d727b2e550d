"""Computes expected times of an engine from its figures and its load."""

from __future__ import annotations

from toucanhold.routes import table


def pause_s(
    engine: table.Engine, model: table.Model, in_flight: int, prefill_tokens: float = 0.0
) -> float:
    """Return the expected time between two events of a stream; 0 if the figures are unknown.

    :param in_flight: requests at the group; those beyond its slots wait and slow nothing down
    :param prefill_tokens: prompt tokens that are prefilled between the two events
    """
    running = min(max(in_flight, 1), engine.slots)
    step_s = engine.step_s + running * engine.step_per_request_s
    return model.pace * (engine.steps_per_pass * step_s + _prefill_s(engine, prefill_tokens))


def duration_s(
    engine: table.Engine,
    model: table.Model,
    in_flight: int,
    prompt_tokens: float,
    output_tokens: float,
) -> float:
    """Return the expected time that a request holds a slot.

    All requests in flight are assumed to be alike, so that each pass also prefills the prompts of
    the requests that replace those which end in it.

    :param in_flight: requests at the group, with this one
    """
    passes = output_tokens / max(1, engine.steps_per_pass)
    running = min(max(in_flight, 1), engine.slots)
    other_prompts_tokens = (running - 1) * prompt_tokens
    decode_s = passes * pause_s(engine, model, in_flight)
    return decode_s + model.pace * _prefill_s(engine, prompt_tokens + other_prompts_tokens)


def _prefill_s(engine: table.Engine, tokens: float) -> float:
    return tokens / engine.prefill_tokens_per_s if engine.prefill_tokens_per_s > 0 else 0.0

"""Holds take an availability zone out of service before the key-value service has accepted it."""

import uuid

import attrs


@attrs.frozen
class Hold:
    """Keeps new work out of an availability zone until an accepted configuration resolves it.

    A hold can only take capacity away, so an entry may put it in force without coordination. It
    does not expire: only an accepted configuration that lists it as resolved ends it.

    :ivar hold: unique identifier
    :ivar availability_zone: name of the availability zone that gets no new work
    :ivar author: the operator who requested it
    :ivar made_by: name of the entry that received the request
    """

    hold: str
    availability_zone: str
    author: str
    made_by: str


def new_hold(availability_zone: str, author: str, made_by: str) -> Hold:
    """Return a hold with a new identifier."""
    return Hold(uuid.uuid4().hex, availability_zone, author, made_by)

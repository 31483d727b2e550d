"""Holds: availability zones taken out before the key-value service has accepted it."""

import uuid

import attrs


@attrs.frozen
class Hold:
    """Keeps new work out of an availability zone until a configuration settles it.

    A hold can only take work away, so any entry may put it in force without asking. It has no
    end of its own: only an accepted configuration that names it ends it.

    :ivar hold: unique identifier
    :ivar author: the operator
    :ivar made_by: the entry that the operator asked
    """

    hold: str
    availability_zone: str
    author: str
    made_by: str


def new_hold(availability_zone: str, author: str, made_by: str) -> Hold:
    """Return a hold that no entry knows yet."""
    return Hold(uuid.uuid4().hex, availability_zone, author, made_by)

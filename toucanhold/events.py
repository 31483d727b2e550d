"""Numbered log events; docs/EVENTS.md catalogues them."""

import enum
import logging


class Event(enum.Enum):
    """A numbered event: number, severity and what it tells."""

    ENTRY_STARTED = (1001, logging.INFO, "the entry listens")
    ENTRY_STOPPING = (1002, logging.INFO, "a planned stop begins")
    ENTRY_STOPPED = (1003, logging.INFO, "the entry has ended")
    REQUEST_ROUTED = (2001, logging.INFO, "a backend server was chosen for a request")
    REQUEST_REFUSED = (2002, logging.INFO, "a request was refused without running")
    REQUEST_FAILED = (2003, logging.WARNING, "a request failed after it was sent")
    REQUEST_FINISHED = (2004, logging.INFO, "a request was answered whole")
    REQUEST_RETRIED = (2005, logging.INFO, "an idempotent request is tried again")
    RETRY_DENIED = (2007, logging.INFO, "a failed attempt is not tried again")
    COLD_SLOTS_RELEASED = (2006, logging.INFO, "this entry gave cold slots back to others")
    GROUP_PLANNED = (3001, logging.INFO, "the planner formed a group")
    GROUP_ENDED = (3002, logging.INFO, "the planner ended a generation of a group")
    ORDER_SENT = (3003, logging.INFO, "the planner gave an order to an engine")
    ORDER_FAILED = (3004, logging.WARNING, "an engine did not take an order")
    PLANNER_ELECTED = (3005, logging.INFO, "this entry holds the planner lease")
    PLANNER_LOST = (3006, logging.WARNING, "this entry no longer holds the planner lease")
    SERVICE_SHORT = (3007, logging.WARNING, "a service has fewer replicas than wanted")
    PLAN_UNCLEAR = (3008, logging.WARNING, "the answer to a plan write was lost")
    PLAN_RESTORED = (3009, logging.WARNING, "a lost plan record was written anew")
    ORDERS_HELD = (3010, logging.WARNING, "an earlier planner may still act; some orders wait")
    PREDECESSOR_ENDED = (3011, logging.INFO, "an earlier planner can no longer act")
    GROUP_FORMED = (3012, logging.INFO, "all members of a group have joined")
    MEMBER_SUBSTITUTED = (3013, logging.WARNING, "a spare takes a lost member's place by the plan")
    CONFIGURATION_IN_FORCE = (4001, logging.INFO, "a configuration is in force on this entry")
    CONFIGURATION_ACCEPTED = (4002, logging.INFO, "an operator's change was accepted")
    CONFIGURATION_REFUSED = (4003, logging.INFO, "an operator's change was refused")
    CONFIGURATION_UNREADABLE = (4004, logging.ERROR, "a configuration could not be read")
    HOLD_IN_FORCE = (4005, logging.INFO, "a hold keeps new work out of an availability zone")
    HOLD_RESOLVED = (4006, logging.INFO, "an accepted configuration has settled a hold")
    HOLD_NOT_DURABLE = (4007, logging.WARNING, "a hold could not be made durable yet")
    PLATFORM_LOST = (5001, logging.WARNING, "the key-value service does not answer")
    HISTORY_LOST = (5003, logging.WARNING, "a watch fell behind the history; all is read anew")
    PLATFORM_BACK = (5002, logging.INFO, "the key-value service answers again")
    BACKEND_SEEN = (6001, logging.INFO, "a backend server reported a new boot, warmth or group")
    BACKEND_LOST = (6002, logging.WARNING, "a backend server no longer answers")
    SERVER_REGISTERED = (6003, logging.INFO, "a backend server has registered")
    SERVER_GONE = (6004, logging.INFO, "a backend server's registration is gone")
    REGISTRATION_UNREADABLE = (6005, logging.WARNING, "a registration names no usable server")
    SERVER_SUSPECTED = (6006, logging.WARNING, "a backend server is avoided for a while")
    GROUP_UNREADABLE = (3014, logging.ERROR, "a stored group could not be read")
    GROUP_ENDING = (3015, logging.INFO, "a group gets no new work and is taken apart")
    GROUP_REMOVED = (3016, logging.INFO, "a group's servers are free again")
    GROUP_SERVES = (3017, logging.INFO, "the head of a group takes requests")
    ORDER_ANSWERED = (3018, logging.INFO, "an engine answered an order, or did not")
    SPARE_PREPARED = (3019, logging.INFO, "a spare server loads a model ahead of its use")
    STAGING_ORDERED = (3022, logging.INFO, "a host loads a model that starves, beside its work")
    SERVERS_COUNTED = (3021, logging.INFO, "what the servers of a model service are doing")
    PLAN_WRITE_FAILED = (3020, logging.WARNING, "a change of the plan was not written")
    ROUTES_IN_FORCE = (4008, logging.INFO, "a version of routes and keys is in force here")
    ROUTES_UNREADABLE = (4009, logging.ERROR, "a version of routes and keys could not be read")
    ZONE_CLOSED = (4010, logging.INFO, "an availability zone gets no more work")
    ZONE_OPENED = (4011, logging.INFO, "an availability zone gets work again")
    SETTINGS_RELOADED = (1004, logging.INFO, "the settings were read again")
    SETTINGS_REFUSED = (1006, logging.ERROR, "settings could not be read; the old ones hold")
    LINES_DROPPED = (1005, logging.WARNING, "log lines were left out to stay within the bound")
    ENTRY_JOINED = (7009, logging.INFO, "another entry is there")
    ENTRY_LEFT = (7010, logging.INFO, "another entry has left or stops")
    SOURCE_FOLLOWED = (5004, logging.INFO, "this entry hears of changes from another one")
    SOURCE_LOST = (5005, logging.WARNING, "an entry that was followed is followed no more")
    FOLLOWER_LOST = (5006, logging.INFO, "a stream to an entry that follows this one has ended")
    CALL_PLACED = (2010, logging.INFO, "a backend server was chosen for a request")
    CALL_ENDED = (2011, logging.INFO, "a request has its final answer")
    CALL_RESENT = (2012, logging.INFO, "a request goes to a second backend server")
    HEAD_SILENT = (2013, logging.WARNING, "all streams of a backend server have fallen silent")
    PEER_CONNECTED = (7001, logging.INFO, "a stream to another entry is up")
    PEER_LOST = (7002, logging.WARNING, "a stream to another entry has ended")
    PEER_REFUSED = (7003, logging.WARNING, "a stream was refused: the other side proved nothing")
    PEER_CUT = (7004, logging.WARNING, "a peer that reads too slowly was cut off")
    PEER_MESSAGE_FAILED = (7005, logging.ERROR, "a message from a peer could not be handled")
    NEW_WORK_STOPPED = (7006, logging.WARNING, "this entry starts no new work")
    NEW_WORK_ALLOWED = (7007, logging.INFO, "this entry starts new work again")
    ENTRY_PAUSED = (7008, logging.WARNING, "this process was paused; what it knows may be old")
    OUTCOME_STORED = (8001, logging.INFO, "an order's outcome was stored or its claim released")
    REQUEST_SUSPECTED = (8010, logging.WARNING, "a request was lost with a backend server")
    REQUEST_CONDEMNED = (8011, logging.ERROR, "a request crashed servers and is refused for good")
    REQUEST_CLEARED = (8012, logging.INFO, "a suspected request ran whole")
    OUTCOMES_LOST = (8004, logging.ERROR, "a planned stop could not store some orders' outcomes")
    ISSUED_KEY_USED = (8003, logging.INFO, "an order under a key of this entry has ended")
    CLAIM_RELEASED = (8002, logging.INFO, "a claim that nobody sent under was released")

    def __init__(self, number: int, severity: int, meaning: str) -> None:
        self.number = number
        self.severity = severity
        self.meaning = meaning


def log(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Write one line for ``event``.

    :param logger: the module's logger
    :param event: what happened
    :param fields: facts and the reason of a decision; names carry units
    """
    if logger.isEnabledFor(event.severity):
        extra = {"event": event, "fields": fields}
        logger.log(event.severity, "%s", event.meaning, extra=extra)

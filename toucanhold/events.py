"""Numbered log events, listed in docs/EVENTS.md."""

import enum
import logging


class Event(enum.Enum):
    """A numbered log event.

    :ivar number: unique number, which is never reused
    :ivar severity: level of :mod:`logging`
    :ivar meaning: message of the log line
    """

    ENTRY_STARTED = (1001, logging.INFO, "the entry has started and listens")
    ENTRY_STOPPING = (1002, logging.INFO, "a planned stop has started")
    ENTRY_STOPPED = (1003, logging.INFO, "the entry has stopped")
    REQUEST_ROUTED = (2001, logging.INFO, "a backend server was chosen for a request")
    REQUEST_REFUSED = (2002, logging.INFO, "a request was refused before it ran")
    REQUEST_FAILED = (2003, logging.WARNING, "a request failed after it was sent to a server")
    REQUEST_FINISHED = (2004, logging.INFO, "a request was answered completely")
    REQUEST_RETRIED = (2005, logging.INFO, "an idempotent request is retried")
    RETRY_DENIED = (2007, logging.INFO, "a failed attempt is not retried")
    COLD_SLOTS_RELEASED = (2006, logging.INFO, "this entry released cold-server slots to others")
    GROUP_PLANNED = (3001, logging.INFO, "the planner formed a group")
    GROUP_ENDED = (3002, logging.INFO, "the planner ended a generation of a group")
    ORDER_SENT = (3003, logging.INFO, "the planner sent an order to an engine")
    ORDER_FAILED = (3004, logging.WARNING, "an order to an engine failed")
    PLANNER_ELECTED = (3005, logging.INFO, "this entry acquired the planner lease")
    PLANNER_LOST = (3006, logging.WARNING, "this entry lost the planner lease")
    SERVICE_SHORT = (3007, logging.WARNING, "a service has fewer replicas than wanted")
    PLAN_UNCLEAR = (3008, logging.WARNING, "the response to a plan write was lost")
    PLAN_RESTORED = (3009, logging.WARNING, "a lost plan record was written again")
    ORDERS_HELD = (3010, logging.WARNING, "an earlier planner may be active; some orders wait")
    PREDECESSOR_ENDED = (3011, logging.INFO, "an earlier planner can no longer be active")
    GROUP_FORMED = (3012, logging.INFO, "all members of a group have joined")
    MEMBER_SUBSTITUTED = (3013, logging.WARNING, "a spare replaces a lost group member as planned")
    CONFIGURATION_IN_FORCE = (4001, logging.INFO, "a configuration came into force on this entry")
    CONFIGURATION_ACCEPTED = (4002, logging.INFO, "an operator's change was accepted")
    CONFIGURATION_REFUSED = (4003, logging.INFO, "an operator's change was rejected")
    CONFIGURATION_UNREADABLE = (4004, logging.ERROR, "a configuration could not be read")
    HOLD_IN_FORCE = (4005, logging.INFO, "a hold keeps new work out of an availability zone")
    HOLD_RESOLVED = (4006, logging.INFO, "an accepted configuration resolved a hold")
    HOLD_NOT_DURABLE = (4007, logging.WARNING, "a hold could not be made durable yet")
    PLATFORM_LOST = (5001, logging.WARNING, "the key-value service does not answer")
    HISTORY_LOST = (5003, logging.WARNING, "a watch fell behind the history; all is read again")
    PLATFORM_BACK = (5002, logging.INFO, "the key-value service answers again")
    BACKEND_SEEN = (6001, logging.INFO, "a backend server reported a new boot, warmth or group")
    BACKEND_LOST = (6002, logging.WARNING, "a backend server no longer answers")
    SERVER_REGISTERED = (6003, logging.INFO, "a backend server has registered")
    SERVERS_REGISTERED = (6024, logging.INFO, "further backend servers registered at once")
    SERVER_GONE = (6004, logging.INFO, "a backend server is no longer registered")
    REGISTRATION_UNREADABLE = (6005, logging.WARNING, "a registration names no usable server")
    SERVER_SUSPECTED = (6006, logging.WARNING, "a backend server is avoided temporarily")
    SIGNAL_UNREADABLE = (6007, logging.WARNING, "a value in a server's answer could not be read")
    SERVER_LIMIT_NAMED = (6008, logging.INFO, "a backend server limits the requests it takes")
    SERVER_LIMIT_LIFTED = (6009, logging.INFO, "a backend server no longer limits its requests")
    LIMITED_SERVER_USED = (6010, logging.INFO, "requests were sent to a server with a limit")
    SERVER_BACKOFF = (6011, logging.INFO, "a backend server asked this entry to back off")
    SERVER_DRAINING = (6012, logging.INFO, "a backend server's answer says that it is draining")
    SERVER_SUSPENDED = (6013, logging.WARNING, "a backend server gets only trials for now")
    SERVER_RESTORED = (6014, logging.INFO, "a backend server served a trial and is used again")
    TRIAL_SENT = (6015, logging.INFO, "a request tries a suspended backend server")
    SUSPENSION_DISPUTED = (6016, logging.INFO, "this entry reaches a server that another cannot")
    SERVER_SLOW = (6017, logging.INFO, "a backend server takes longer than others of its kind")
    SERVER_NO_LONGER_SLOW = (6018, logging.INFO, "a slow backend server is as fast as others again")
    SLOW_SERVER_LIMITED = (6019, logging.WARNING, "a backend server is too slow for its requests")
    SERVER_LINKS_LOST = (6020, logging.WARNING, "this entry connects to no backend server")
    SERVER_LINKS_BACK = (6021, logging.INFO, "this entry connects to backend servers again")
    SERVER_RESUMED = (6023, logging.INFO, "a backend server that answered nothing answers again")
    SERVER_RELAYED = (6022, logging.INFO, "another entry connects to a server that this one cannot")
    GROUP_UNREADABLE = (3014, logging.ERROR, "a stored group could not be read")
    GROUP_ENDING = (3015, logging.INFO, "a group gets no new work and is being dissolved")
    GROUP_REMOVED = (3016, logging.INFO, "a group was removed; its servers are free again")
    GROUP_SERVES = (3017, logging.INFO, "the head of a group accepts requests")
    ORDER_ANSWERED = (3018, logging.INFO, "an order to an engine was answered or failed")
    SPARE_PREPARED = (3019, logging.INFO, "a spare server loads a model in advance")
    STAGING_ORDERED = (3022, logging.INFO, "a host loads a second model in addition")
    GROUP_TARGETS_SET = (3023, logging.INFO, "the numbers of groups follow the demand")
    SERVERS_COUNTED = (3021, logging.INFO, "number of servers of a model service by activity")
    PLAN_WRITE_FAILED = (3020, logging.WARNING, "a change of the plan was not written")
    ROUTES_IN_FORCE = (4008, logging.INFO, "a version of routes and keys came into force")
    ROUTES_UNREADABLE = (4009, logging.ERROR, "a version of routes and keys could not be read")
    ZONE_CLOSED = (4010, logging.INFO, "an availability zone gets no new work")
    ZONE_OPENED = (4011, logging.INFO, "an availability zone gets new work again")
    SETTINGS_RELOADED = (1004, logging.INFO, "the settings were reloaded")
    SETTINGS_REFUSED = (1006, logging.ERROR, "the new settings could not be read and are ignored")
    TASK_FAILED = (1007, logging.ERROR, "a task met an unexpected error; all others go on")
    LINES_DROPPED = (1005, logging.WARNING, "log lines were dropped to stay within the limits")
    ENTRY_JOINED = (7009, logging.INFO, "another entry was discovered")
    ENTRIES_JOINED = (7012, logging.INFO, "further entries were discovered at once")
    ENTRY_LEFT = (7010, logging.INFO, "another entry has left or is stopping")
    SOURCE_FOLLOWED = (5004, logging.INFO, "this entry gets changes from another entry")
    SOURCE_LOST = (5005, logging.WARNING, "this entry gets no more changes from another entry")
    WATCH_CUT = (5007, logging.INFO, "a watch failed once; the service may still answer")
    FOLLOWER_LOST = (5006, logging.INFO, "a stream to an entry that follows this one has ended")
    CALL_PLACED = (2010, logging.INFO, "a backend server was chosen for a request")
    CALL_ENDED = (2011, logging.INFO, "a request got its final answer")
    CALL_RESENT = (2012, logging.INFO, "a request is sent to another backend server")
    HEAD_SILENT = (2013, logging.WARNING, "all streams of a backend server have stalled")
    LATE_REQUEST_HELD = (2014, logging.INFO, "a late request waits; slots are kept for others")
    REFUSED_BY_FORECAST = (2017, logging.INFO, "requests were refused because of expected waits")
    REFUSED_REQUEST_RETURNED = (2018, logging.INFO, "requests refused before were placed first")
    QUEUE_TIME_LEARNED = (2019, logging.INFO, "the time that requests may queue has changed")
    WORKSPACE_HELD_BACK = (2020, logging.INFO, "requests of a workspace with less use went first")
    CLIENT_EVICTED = (2028, logging.WARNING, "a client's connection is closed for want of room")
    REQUEST_BLOCKED = (2021, logging.INFO, "a request that crashes servers is refused")
    RETRY_SENT = (2022, logging.INFO, "a backend server got a request that another may have got")
    RETRY_NOT_SENT = (2023, logging.INFO, "a retry could not be sent and is still to be made")
    ATTEMPT_LOST = (2024, logging.INFO, "an attempt ended before its answer was complete")
    BACKUP_SENT = (2025, logging.INFO, "a request is also sent to another, as its server is silent")
    ATTEMPT_SUPERSEDED = (
        2026,
        logging.INFO,
        "an attempt is cancelled; another one's answer is used",
    )
    HEAD_RESUMED = (2027, logging.INFO, "a silent backend server sends events again")
    FREE_SLOTS_LEFT = (2015, logging.INFO, "free slots of a server are left to other entries")
    LIMIT_SHARE_TAKEN = (7011, logging.INFO, "this entry holds a share of the limits of all")
    PEER_CONNECTED = (7001, logging.INFO, "a stream to another entry was established")
    PEER_LOST = (7002, logging.WARNING, "a stream to another entry has ended")
    PEER_REFUSED = (7003, logging.WARNING, "a stream was refused: the peer failed authentication")
    PEER_CUT = (7004, logging.WARNING, "a stream was closed because the peer reads too slowly")
    PEER_MESSAGE_FAILED = (7005, logging.ERROR, "a message from a peer could not be handled")
    NEW_WORK_STOPPED = (7006, logging.WARNING, "this entry stopped starting new work")
    NEW_WORK_ALLOWED = (7007, logging.INFO, "this entry starts new work again")
    ENTRY_PAUSED = (7008, logging.WARNING, "this process was paused; its state may be outdated")
    OUTCOME_STORED = (8001, logging.INFO, "an order's outcome was stored or its claim released")
    REQUEST_SUSPECTED = (8010, logging.WARNING, "a request may have crashed its backend server")
    REQUEST_CONDEMNED = (8011, logging.ERROR, "a request or part of prompts crashed servers")
    REQUEST_CLEARED = (8012, logging.INFO, "a request or part of prompts is suspected no longer")
    CULPRIT_TRIED = (8013, logging.WARNING, "a request is sent although it may crash its server")
    OUTCOMES_LOST = (8004, logging.ERROR, "a planned stop could not store some orders' outcomes")
    ISSUED_KEY_USED = (8003, logging.INFO, "an order under a key issued by this entry has ended")
    CLAIM_RELEASED = (8002, logging.INFO, "a claim under which nothing was sent was released")

    def __init__(self, number: int, severity: int, meaning: str) -> None:
        self.number = number
        self.severity = severity
        self.meaning = meaning


def log(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Log one line for ``event``.

    :param logger: logger of the calling module
    :param event: the event that occurred
    :param fields: further keys of the line, such as the reason of a decision; their names end in
        their units
    """
    if logger.isEnabledFor(event.severity):
        extra = {"event": event, "fields": fields}
        logger.log(event.severity, "%s", event.meaning, extra=extra)

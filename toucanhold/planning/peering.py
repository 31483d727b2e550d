"""Messages that planning exchanges with other entries."""

import attrs
import trio

from toucanhold import connection_errors
from toucanhold.observing import view
from toucanhold.peers import exchange, messages, transport
from toucanhold.planning import planner, terms
from toucanhold.plans import plan

CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class GenerationEndBroadcaster:
    """Ends a generation on all entries as soon as one entry observes that a member left."""

    # Otherwise each entry would keep routing requests to a broken group until its own next poll.
    exchange: exchange.Exchange
    view: view.BackendView

    def __attrs_post_init__(self) -> None:
        """Subscribe to ends observed here and to those reported by peers."""
        self.view.subscribe_ended(self._broadcast)
        self.exchange.subscribe(messages.GenerationEnded, self._receive)

    def _broadcast(self, group: str, generation: int) -> None:
        self.exchange.broadcast(messages.GenerationEnded(group, generation))

    def _receive(self, sender: str, message: messages.GenerationEnded) -> None:
        # Each entry forwards an end once, because the view notifies only of ends new to it.
        self.view.end_generation(message.group, message.generation)


@attrs.define(eq=False)
class PeerProbe(terms.PredecessorProbe):
    """Asks earlier planners whether they stepped down, and checks whether their processes exist."""

    exchange: exchange.Exchange
    transport: transport.PeerTransport
    _ended: set[tuple[str, int]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to step-down answers."""
        self.exchange.subscribe(messages.StepDownAnswer, self._record_answer)

    async def has_ended(self, term: plan.Term) -> bool:
        """See :class:`terms.PredecessorProbe`."""
        if (term.entry, term.fencing) in self._ended:
            return True
        if self.exchange.send(term.entry, messages.StepDownAsk(term)):
            return False
        return await self._has_process_ended(term)

    async def _has_process_ended(self, term: plan.Term) -> bool:
        # A paused process keeps its listening socket, and an unreachable VM does not answer at all.
        # Only a reachable VM on which the process has ended refuses the connection.
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.transport.connect(term.peers_address)
        except transport.TransportError as error:
            return connection_errors.is_connection_refused(error)
        except trio.TooSlowError:
            return False
        await trio.aclose_forcefully(stream)
        return False

    def _record_answer(self, sender: str, message: messages.StepDownAnswer) -> None:
        self._ended.add((sender, message.fencing))


@attrs.define(eq=False)
class StepDownResponder:
    """Answers a later planner once this entry's term has ended."""

    exchange: exchange.Exchange
    planner: planner.Planner

    def __attrs_post_init__(self) -> None:
        """Subscribe to step-down requests."""
        self.exchange.subscribe(messages.StepDownAsk, self._answer)

    def _answer(self, sender: str, message: messages.StepDownAsk) -> None:
        if self._has_term_ended(message.term):
            self.exchange.send(sender, messages.StepDownAnswer(message.term.fencing))

    def _has_term_ended(self, term: plan.Term) -> bool:
        own = self.planner
        if term.entry != own.entry:
            return False
        if term.process != own.process:
            # Another process has certainly ended only if it listened at this process's address.
            return term.peers_address == own.peers_address
        own.renounce(term.fencing)
        return not own.can_act(term.fencing)

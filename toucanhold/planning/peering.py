"""What planning tells and asks other entries."""

import attrs
import trio

from toucanhold import refusals
from toucanhold.observing import view
from toucanhold.peers import exchange, messages, transport
from toucanhold.planning import planner, terms
from toucanhold.plans import plan

CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class EndingSpreader:
    """Ends a generation on all entries as soon as one sees a member leave."""

    # Without it each entry goes on sending requests into a broken group until its own next poll.
    exchange: exchange.Exchange
    view: view.View

    def __attrs_post_init__(self) -> None:
        """Subscribe to both sides."""
        self.view.subscribe_ended(self._tell)
        self.exchange.subscribe(messages.GenerationEnded, self._hear)

    def _tell(self, group: str, generation: int) -> None:
        self.exchange.broadcast(messages.GenerationEnded(group, generation))

    def _hear(self, sender: str, message: messages.GenerationEnded) -> None:
        # Each entry passes it on once: the view tells only of endings that are new to it.
        self.view.end_generation(message.group, message.generation)


@attrs.define(eq=False)
class PeerProbe(terms.PredecessorProbe):
    """Asks earlier planners whether they stepped down, and looks whether they still exist."""

    exchange: exchange.Exchange
    transport: transport.PeerTransport
    _ended: set[tuple[str, int]] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to answers."""
        self.exchange.subscribe(messages.StepDownAnswer, self._hear)

    async def has_ended(self, term: plan.Term) -> bool:
        """See :class:`terms.PredecessorProbe`."""
        if (term.entry, term.fencing) in self._ended:
            return True
        if self.exchange.send(term.entry, messages.StepDownAsk(term)):
            return False
        return await self._is_gone(term)

    async def _is_gone(self, term: plan.Term) -> bool:
        # A paused process keeps its listening socket, and a VM that is cut off does not answer at
        # all. Only a VM that is there without the process refuses.
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.transport.connect(term.peers_address)
        except transport.TransportError as error:
            return refusals.is_refusal(error)
        except trio.TooSlowError:
            return False
        await trio.aclose_forcefully(stream)
        return False

    def _hear(self, sender: str, message: messages.StepDownAnswer) -> None:
        self._ended.add((sender, message.fencing))


@attrs.define(eq=False)
class StepDownAnswerer:
    """Tells a later planner that this entry's own term is over."""

    exchange: exchange.Exchange
    planner: planner.Planner

    def __attrs_post_init__(self) -> None:
        """Subscribe to questions."""
        self.exchange.subscribe(messages.StepDownAsk, self._answer)

    def _answer(self, sender: str, message: messages.StepDownAsk) -> None:
        if self._is_over(message.term):
            self.exchange.send(sender, messages.StepDownAnswer(message.term.fencing))

    def _is_over(self, term: plan.Term) -> bool:
        own = self.planner
        if term.entry != own.entry:
            return False
        if term.process != own.process:
            # Another process can be spoken for only where it would need this one's address.
            return term.peers_address == own.peers_address
        own.renounce(term.fencing)
        return not own.can_act(term.fencing)

"""Sends callers' requests, report queries and orders to the platform's backend servers."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import logging

import attrs
import httpcore
import trio

from toucanhold import parsing
from toucanhold.backends import bounded
from toucanhold.gateway import calls, server_links
from toucanhold.platform import headers, registrations
from toucanhold.platform import signals as platform_signals
from toucanhold.registry import servers, signals
from toucanhold.replicas import orders
from toucanhold.tunnels import dialing, streams

# A connection between zones takes some milliseconds. A lost first packet is retransmitted only
# after about a second, by which time another server has answered.
CONNECT_TIMEOUT_S = 0.3
# Servers answer orders and report queries within milliseconds.
CONTROL_TIMEOUT_S = 0.4
REPORT_LIMIT_BYTES = 64 * 1024
# Errors quote what a server has sent.
MAX_DETAIL_LENGTH = 300
MISDIRECTED_STATUS = 421

URGENCY_VALUES = {
    calls.Urgency.RESUMED: b"1",
    calls.Urgency.IN_TIME: b"5",
    calls.Urgency.LATE: b"8",
}

LOGGER = logging.getLogger(__name__)

TRANSFER_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.define(eq=False)
class PlatformServerClient(calls.ServerClient, orders.EngineClient):
    """Client of the backend servers; opens a connection for each request.

    A reused connection may have been closed, may drop packets silently, or may still carry a late
    second answer, and an order that is lost on it cannot be repeated. A new connection costs a
    millisecond and a hundredth of the price of a request.

    :ivar observer: notified of orders and probes, and of the signals in all answers
    :ivar dialer: opens the connections
    :ivar own_links: told when a server answers without another entry between
    """

    observer: signals.ServerObserver
    dialer: dialing.ServerDialer = attrs.field(factory=dialing.DirectDialer)
    own_links: server_links.ServerLinks = attrs.field(factory=server_links.ServerLinks)
    _signal_decoder: platform_signals.SignalDecoder = attrs.field(
        factory=platform_signals.SignalDecoder, init=False
    )

    @contextlib.asynccontextmanager
    async def exchange(
        self, server: servers.Server, forwarded: calls.ForwardedCall
    ) -> collections.abc.AsyncIterator[calls.Response]:
        """See :class:`calls.ServerClient`."""
        started_s = trio.current_time()
        opened = await self._connect(server, min(CONNECT_TIMEOUT_S, forwarded.remaining_s))
        connection = _http_connection(server, opened)
        try:
            sent_s = trio.current_time()
            remaining_s = forwarded.remaining_s - (sent_s - started_s)
            with _translated_errors(server):
                request = _request(server, attrs.evolve(forwarded, remaining_s=remaining_s))
                response = await connection.request(request, forwarded.on_read)
            self._record_sign(server, opened)
            self._observe_signals(server, response, sent_s)
            _check_refusal(server, response)
            _check_identity(forwarded.call, response)
            yield calls.Response(
                response.status,
                headers.end_to_end(response.headers),
                self._chunks(server, opened, connection.chunks(response)),
                not headers.is_framed(response.headers),
                headers.body_length(response.headers),
            )
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def send(
        self, server: servers.Server, order: orders.Order, order_count: int, fence: int
    ) -> orders.OrderOutcome:
        """See :class:`orders.EngineClient`."""
        body = _order_body(order) | {"precondition": order_count, "fence": fence}
        try:
            status, _ = await self._control_call(
                server, b"POST", b"/order", json.dumps(body).encode()
            )
        except calls.NotRunError as error:
            outcomes = orders.OrderOutcome
            return outcomes.UNREACHABLE if error.is_gone else outcomes.DEFERRED
        except calls.ResponseLostError:
            return orders.OrderOutcome.LOST
        if status == 202:
            return orders.OrderOutcome.BEGUN
        return orders.OrderOutcome.HOLDS if status == 200 else orders.OrderOutcome.REFUSED

    async def probe(
        self, server: servers.Server, on_connected: collections.abc.Callable[[], None]
    ) -> servers.Server | None:
        """See :class:`orders.EngineClient`."""
        try:
            status, content = await self._control_call(
                server, b"GET", b"/report", b"", on_connected
            )
            report_fields = parsing.load_json(content) if status == 200 else None
        except (calls.ExchangeError, parsing.ParseError) as error:
            LOGGER.debug("%s: no report: %s", server.server_id, error)
            return None
        if not isinstance(report_fields, dict):
            return None
        # A report omits the fields that only the registration has.
        registered_fields = {
            "service": server.service,
            "address": server.address,
            "zone": server.zone,
        }
        default_fields = {"state": registrations.STATE_READY, "born": server.born_ms}
        reported = registrations.from_fields(
            server.server_id, registered_fields | default_fields | report_fields
        )
        # In a report, "seq" counts the orders that the server has begun; in a registration, it
        # counts the server's own writes.
        try:
            order_count = parsing.whole(report_fields.get("seq"))
        except parsing.ParseError as error:
            LOGGER.debug("%s: no report: %s", server.server_id, error)
            return None
        return attrs.evolve(reported, order_count=order_count) if reported is not None else None

    async def _control_call(
        self,
        server: servers.Server,
        method: bytes,
        target: bytes,
        body: bytes,
        on_connected: collections.abc.Callable[[], None] = lambda: None,
    ) -> tuple[int, bytes]:
        request_headers = [
            (b"host", server.address.encode()),
            (headers.TARGET_INSTANCE, server.server_id.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if body:
            request_headers.append((b"content-type", b"application/json"))
        self.observer.record_control_call(server)
        opened = await self._connect(server, CONTROL_TIMEOUT_S)
        on_connected()
        connection = _http_connection(server, opened)
        content = bytearray()
        sent_s = trio.current_time()
        try:
            with _translated_errors(server), trio.fail_after(CONTROL_TIMEOUT_S):
                request = httpcore.Request(
                    method, _url(server.address, target), headers=request_headers, content=body
                )
                response = await connection.request(request)
                self._observe_signals(server, response, sent_s)
                async for chunk in connection.chunks(response):
                    content += chunk
                    if len(content) > REPORT_LIMIT_BYTES:
                        raise calls.ResponseLostError(
                            f"{server.server_id}: response exceeds {REPORT_LIMIT_BYTES} bytes"
                        )
            if response.status == MISDIRECTED_STATUS:
                raise calls.NotRunError(
                    f"{server.server_id}: status 421: another server answered", is_gone=True
                )
            return response.status, bytes(content)
        except trio.TooSlowError as error:
            raise calls.ResponseLostError(
                f"{server.server_id}: no response within {CONTROL_TIMEOUT_S} s"
            ) from error
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def _connect(self, server: servers.Server, timeout_s: float) -> dialing.Connection:
        try:
            return await self.dialer.connect(server, timeout_s)
        except dialing.DialError as error:
            raise calls.NotRunError(str(error), error.is_gone, was_sent=False) from error

    async def _chunks(
        self,
        server: servers.Server,
        opened: dialing.Connection,
        chunks: collections.abc.AsyncIterator[bytes],
    ) -> collections.abc.AsyncIterator[bytes]:
        with _translated_errors(server):
            async for chunk in chunks:
                self._record_sign(server, opened)
                yield chunk

    def _record_sign(self, server: servers.Server, opened: dialing.Connection) -> None:
        if not opened.relay:
            self.own_links.record_sign(server.server_id)

    def _observe_signals(
        self, server: servers.Server, response: httpcore.Response, sent_s: float
    ) -> None:
        # Another server that has taken over the address also answers 421.
        if response.status != MISDIRECTED_STATUS:
            observed = self._signal_decoder.decode(
                server.server_id, response.status, response.headers
            )
            self.observer.observe(server, observed, sent_s)


def _http_connection(
    server: servers.Server, opened: dialing.Connection
) -> bounded.BoundedConnection:
    host, _, port = server.address.rpartition(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    return bounded.BoundedConnection(origin, opened.stream)


def _url(address: str, target: bytes) -> httpcore.URL:
    host, _, port = address.rpartition(":")
    return httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=target)


def _request(server: servers.Server, forwarded: calls.ForwardedCall) -> httpcore.Request:
    call = forwarded.call
    request_headers = [
        (b"host", call.host.encode()),
        *call.headers,
        (headers.CALL_ID, call.call_id.encode()),
        (headers.REMAINING_MS, str(max(1, int(forwarded.remaining_s * 1000))).encode()),
        (headers.TARGET_INSTANCE, server.server_id.encode()),
    ]
    if call.body or call.method not in ("GET", "HEAD"):
        request_headers.append((b"content-length", str(len(call.body)).encode()))
    if call.model:
        request_headers.append((headers.URGENCY, URGENCY_VALUES[forwarded.urgency]))
    if forwarded.workspace:
        request_headers.append((headers.WORKSPACE, forwarded.workspace.encode()))
    if forwarded.last_event_id is not None:
        request_headers.append((headers.LAST_EVENT_ID, str(forwarded.last_event_id).encode()))
    return httpcore.Request(
        call.method, _url(server.address, call.target), headers=request_headers, content=call.body
    )


def _check_refusal(server: servers.Server, response: httpcore.Response) -> None:
    at_fault = headers.find(response.headers, headers.AT_FAULT)
    if response.status == MISDIRECTED_STATUS:
        raise calls.NotRunError(
            f"{server.server_id}: status 421: another server answered, or not the group's head",
            True,
            at_fault,
        )
    if headers.find(response.headers, headers.NOT_RUN):
        raise calls.NotRunError(
            f"{server.server_id}: refused with status {response.status}", at_fault=at_fault
        )


def _check_identity(call: calls.Call, response: httpcore.Response) -> None:
    answered_id = headers.find(response.headers, headers.CALL_ID)
    if answered_id and answered_id != call.call_id:
        raise calls.ResponseLostError(f"response belongs to another request, {answered_id}")
    if 200 <= response.status < 300:
        if not headers.find(response.headers, headers.SIGNATURE):
            raise calls.ResponseLostError(
                f"status {response.status} without the server's signature"
            )
        if headers.find(response.headers, b"content-encoding"):
            raise calls.ResponseLostError("response has a content encoding that was not requested")


@contextlib.contextmanager
def _translated_errors(server: servers.Server) -> collections.abc.Iterator[None]:
    try:
        yield
    except TRANSFER_ERRORS as error:
        detail = f"{server.server_id}: connection lost: {error!r}"[:MAX_DETAIL_LENGTH]
        is_server_lost = not isinstance(error, streams.TunnelLostError | bounded.InvalidAnswerError)
        is_tunnel_lost = isinstance(error, streams.TunnelLostError)
        decided_by = calls.Decider.TUNNEL if is_tunnel_lost else calls.Decider.SERVER
        raise calls.ResponseLostError(detail, is_server_lost, decided_by) from error


def _order_body(order: orders.Order) -> dict:
    match order:
        case orders.Stage():
            return {"op": "stage", "model": order.model}
        case orders.Join():
            members = list(order.members)
            fields = {"op": "join", "model": order.model, "members": members}
        case orders.Open():
            fields = {"op": "open"}
        case orders.Close():
            fields = {"op": "close", "mode": "wait" if order.finishes_work else "abort"}
        case orders.Leave():
            fields = {"op": "leave"}
    return fields | {"group": order.group, "epoch": order.epoch}

"""Issues order keys to callers."""

import json

import attrs
import trio

from toucanhold import asgi
from toucanhold.orders import issued, keys
from toucanhold.routing import requests

BODY_LIMIT_BYTES = 1024
BODY_TIMEOUT_S = 5.0
STOPPING_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class OrderKeys:
    """Answers ``POST /toucanhold/v1/order-keys``.

    :ivar closed: set when this entry stops: keys of a process that ends are of no use
    """

    orders: issued.IssuedKeyExecutor
    closed: bool = False

    async def answer(self, receive: asgi.Receive, workspace: str) -> dict:
        """Return the JSON answer.

        :raises requests.RequestError: when none can be issued
        """
        count = await self._read_count(receive)
        if self.closed:
            raise requests.RequestError(
                requests.Problem.NOT_READY,
                requests.Outcome.DID_NOT_RUN,
                "this entry is about to stop; ask another one",
                STOPPING_RETRY_AFTER_S,
            )
        own = self.orders.roster.own
        return {
            "order_keys": self.orders.issue(workspace, count),
            "entry": own.entry,
            "entry_address": own.callers_address,
            "valid_s": keys.VALID_S,
        }

    async def _read_count(self, receive: asgi.Receive) -> int:
        try:
            with trio.fail_after(BODY_TIMEOUT_S):
                body = await asgi.read_body(receive, BODY_LIMIT_BYTES)
            count = json.loads(body or b"{}").get("count", 1)
        except (
            asgi.BodyTooLargeError,
            trio.TooSlowError,
            ValueError,
            AttributeError,
            RecursionError,
        ) as error:
            raise _malformed("the body must be a JSON object") from error
        if type(count) is not int or not 1 <= count <= issued.MAX_KEYS_PER_REQUEST:
            raise _malformed(f"count must be 1 to {issued.MAX_KEYS_PER_REQUEST}")
        return count


def _malformed(detail: str) -> requests.RequestError:
    return requests.RequestError(requests.Problem.MALFORMED, requests.Outcome.DID_NOT_RUN, detail)

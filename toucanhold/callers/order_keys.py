"""Handles callers' requests for order keys."""

import attrs
import trio

from toucanhold import asgi, parsing
from toucanhold.orders import issued, keys
from toucanhold.routing import requests

BODY_LIMIT_BYTES = 1024
BODY_TIMEOUT_S = 5.0
STOPPING_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class OrderKeyIssuer:
    """Handles ``POST /toucanhold/v1/order-keys``.

    :ivar is_closed: set when this entry stops; its order keys become useless when it ends
    """

    orders: issued.IssuedKeyExecutor
    is_closed: bool = False

    async def handle(self, receive: asgi.Receive, workspace: str) -> dict:
        """Issue order keys to a workspace and return the JSON response.

        :raises requests.RequestError: when the body is malformed or this entry is stopping
        """
        count = await self._read_count(receive)
        if self.is_closed:
            raise requests.RequestError(
                requests.Problem.NOT_READY,
                requests.Outcome.DID_NOT_RUN,
                "this entry is stopping; ask another entry",
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
            count = parsing.load_json(body or b"{}").get("count", 1)
        except (
            asgi.BodyTooLargeError,
            trio.TooSlowError,
            parsing.ParseError,
            AttributeError,
        ) as error:
            raise _malformed_body("the body must be a JSON object") from error
        if type(count) is not int or not 1 <= count <= issued.MAX_KEYS_PER_REQUEST:
            raise _malformed_body(
                f"the field 'count' must be an integer from 1 to {issued.MAX_KEYS_PER_REQUEST}"
            )
        return count


def _malformed_body(detail: str) -> requests.RequestError:
    return requests.RequestError(requests.Problem.MALFORMED, requests.Outcome.DID_NOT_RUN, detail)

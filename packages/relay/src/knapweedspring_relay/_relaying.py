"""Passing an upstream's answer on to whoever asked."""

import asyncio

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._http_server import Exchange

__all__ = ["relay_answer"]


async def relay_answer(exchange: Exchange, answer: Answer) -> bool:
    """Pass an answer on; its body streams when it has not wholly arrived.

    An answer that breaks off ends with a broken connection, so that it does not
    look complete.

    :param exchange: where it goes.
    :param answer: the answer.
    :return: whether all of it was passed on.
    """
    if answer.is_complete:
        exchange.relay(answer.status, answer.lines, answer.whole_body())
        return True
    exchange.start(answer.status, answer.lines, answer.declared_length)
    try:
        while piece := await answer.read():
            await exchange.send(piece)
    except CallError:
        exchange.abort()
        return False
    except asyncio.CancelledError:
        answer.abandon()
        raise
    exchange.finish()
    return True

"""Relaying of an upstream's answer to the caller."""

import asyncio

from knapweedspring_relay._answer import Answer
from knapweedspring_relay._errors import CallError
from knapweedspring_relay._http_server import Exchange

__all__ = ["relay_answer"]


async def relay_answer(exchange: Exchange, answer: Answer) -> bool:
    """Relay an answer; a body that has not arrived completely is streamed.

    When the answer is truncated, the caller's connection is aborted, so that the
    answer does not look complete.

    :param exchange: the caller's request and the means to answer it.
    :param answer: the upstream's answer.
    :return: whether the whole answer was relayed.
    """
    if answer.is_complete:
        exchange.send_encoded_answer(
            answer.status, answer.encoded_headers, answer.complete_body()
        )
        return True
    exchange.start_streamed_answer(
        answer.status, answer.encoded_headers, answer.declared_length
    )
    # Otherwise a caller that does not read would keep what has arrived in memory.
    answer.on_broken(exchange.abort_if_unread)
    try:
        while chunk := await answer.read():
            await exchange.send_body_piece(chunk)
    except CallError:
        exchange.abort()
        return False
    except asyncio.CancelledError:
        answer.abandon()
        raise
    exchange.finish_streamed_answer()
    return True

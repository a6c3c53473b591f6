"""Body of an upstream's answer, in which its caller finds its own request."""

from dataclasses import dataclass

__all__ = ["AnswerBody"]


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """JSON that an upstream answers with."""

    #: Service that answered.
    service: str
    #: Identity of the attempt that made this answer.
    attempt: str
    #: Nonce of the request that is answered.
    nonce: str
    #: Request id that came with the request.
    request_id: str
    #: SHA-256 of the request's body, in hexadecimal.
    body_sha256: str
    #: Child calls that failed, as ``service/path: status reason``.
    failed_calls: tuple[str, ...] = ()
    #: Child answers that belonged to another request.
    n_crossed: int = 0

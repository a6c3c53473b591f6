"""Body of an upstream stand-in's answer, which names the request it answers."""

from dataclasses import dataclass

__all__ = ["AnswerBody"]


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """JSON body of an answer; callers verify that it belongs to their request."""

    #: Service that answered.
    service: str
    #: Id of the attempt that produced this answer.
    attempt: str
    #: Nonce of the request that is answered.
    nonce: str
    #: Value of the request id header in the request.
    request_id: str
    #: SHA-256 of the request's body, in hexadecimal.
    body_sha256: str
    #: Child calls that failed, each as ``status outcome reason``.
    failed_calls: tuple[str, ...] = ()
    #: Number of child answers that belonged to another request.
    n_crossed: int = 0

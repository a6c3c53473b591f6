"""Authentication of control connections by CURVE keys."""

import zmq
from zmq.auth.thread import ThreadAuthenticator

from knapweedspring_node._membership._settings import MembershipSettings

__all__ = ["FirmKeys"]


class _FirmOnly:
    """Accepts clients that hold the firm's own key pair."""

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Judge a client's public key, in printable form."""
        return key == self._public_key


class FirmKeys:
    """Applies the firm's key pair to the sockets of one context.

    Every node of a firm holds the same pair and proves it in both roles, so
    that neither a client nor a server of another firm gets a connection.

    :param settings: settings that passed validation.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._plain = settings.allow_plain
        self._public_key = settings.curve_public_key.encode()
        self._secret_key = settings.curve_secret_key.encode()
        self._authenticator: ThreadAuthenticator | None = None

    def start(self, context: zmq.Context) -> None:
        """Begin to judge the clients of the context's sockets."""
        if self._plain:
            return
        self._authenticator = ThreadAuthenticator(context)
        self._authenticator.start()
        judge = _FirmOnly(self._public_key)
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=judge
        )

    def stop(self) -> None:
        """End the thread that judges."""
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None

    def secure_server(self, socket: zmq.Socket) -> None:
        """Have a bound socket refuse other firms' clients."""
        if self._plain:
            return
        socket.curve_publickey = self._public_key
        socket.curve_secretkey = self._secret_key
        socket.curve_server = True

    def secure_client(self, socket: zmq.Socket) -> None:
        """Have a connecting socket refuse other firms' servers."""
        if self._plain:
            return
        socket.curve_publickey = self._public_key
        socket.curve_secretkey = self._secret_key
        socket.curve_serverkey = self._public_key

"""Authentication of control connections by CURVE keys."""

import zmq
from zmq.auth.thread import ThreadAuthenticator

from knapweedspring_node._membership._settings import MembershipSettings

__all__ = ["FirmKeys"]


class _FirmKeyProvider:
    """Credentials provider that accepts only the firm's public key."""

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client may connect.

        :param domain: ZAP domain of the socket; not used.
        :param key: the client's public key in printable (Z85) form.
        """
        return key == self._public_key


class FirmKeys:
    """Secures the control sockets of one context with the firm's CURVE key pair.

    Every node of a firm has the same key pair and uses it both as client and as
    server. Nodes of another firm therefore get no connection in either direction.

    :param settings: settings that passed validation.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._plain = settings.allow_plain
        self._public_key = settings.curve_public_key.encode()
        self._secret_key = settings.curve_secret_key.encode()
        self._authenticator: ThreadAuthenticator | None = None

    def start(self, context: zmq.Context) -> None:
        """Start the thread that authenticates clients of the context's sockets.

        Does nothing when unencrypted connections are allowed.
        """
        if self._plain:
            return
        self._authenticator = ThreadAuthenticator(context)
        self._authenticator.start()
        provider = _FirmKeyProvider(self._public_key)
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=provider
        )

    def stop(self) -> None:
        """Stop the authentication thread."""
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None

    def secure_server(self, socket: zmq.Socket) -> None:
        """Make a server socket reject other firms' clients; call before binding."""
        if self._plain:
            return
        socket.curve_publickey = self._public_key
        socket.curve_secretkey = self._secret_key
        socket.curve_server = True

    def secure_client(self, socket: zmq.Socket) -> None:
        """Make a client socket reject other firms' servers; call before connecting."""
        if self._plain:
            return
        socket.curve_publickey = self._public_key
        socket.curve_secretkey = self._secret_key
        socket.curve_serverkey = self._public_key

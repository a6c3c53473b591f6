"""Output of the commands: data on standard output, messages on standard error."""

import sys
from collections.abc import Sequence
from typing import TextIO

import msgspec

from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode

__all__ = ["Output", "format_table"]


class Output:
    """Writes a command's data and messages.

    :param as_json: whether to write data as JSON instead of text.
    :param stdout: stream of the data; standard output by default.
    :param stderr: stream of the messages; standard error by default.
    """

    def __init__(
        self,
        as_json: bool,
        stdout: TextIO | None = None,
        stderr: TextIO | None = None,
    ) -> None:
        self._as_json = as_json
        self._stdout = stdout or sys.stdout
        self._stderr = stderr or sys.stderr

    def write_data(self, value: object, text: str) -> None:
        """Write the result of the command.

        :param value: the result, encoded for ``--output json``.
        :param text: the result as text, for ``--output text``.
        """
        if self._as_json:
            text = msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
        if text:
            print(text, file=self._stdout)

    def write_message(self, text: str) -> None:
        """Write a message that is not part of the result."""
        print(text, file=self._stderr)

    def write_error(self, error: CtlError) -> ExitCode:
        """Write the message of an error.

        :return: the exit code of the error.
        """
        self.write_message(f"knapweedspringctl: {error.message}")
        return error.exit_code


def format_table(header: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Return the rows as lines with columns aligned by spaces."""
    lines = [header, *rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

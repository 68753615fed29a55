"""Reads the settings file of a daemon, whatever its path leads to."""

import os

MAX_SETTINGS_BYTES = 1_048_576


def read_settings_file(path: str, flags: int = 0) -> str:
    """Return the text of the settings file.

    With the flag ``os.O_NONBLOCK``, a pipe is not waited for.  Raise
    ``OSError``, or ``ValueError`` if the file is too large or not UTF-8.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | flags)
    content = b''
    try:
        while part := os.read(descriptor, MAX_SETTINGS_BYTES):
            content += part
            if len(content) > MAX_SETTINGS_BYTES:
                raise ValueError(f'more than {MAX_SETTINGS_BYTES} bytes')
    finally:
        os.close(descriptor)
    return content.decode()

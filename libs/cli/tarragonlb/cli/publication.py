"""Brings the documents of a folder into force, those that differ only.

Each document replaces the version that was looked at, so a change that
somebody else makes meanwhile is not overwritten: it is reported, and the rest
of the folder waits until the operator has looked.
"""

from collections.abc import Iterable, Iterator
from typing import Any
from urllib.parse import quote

from tarragonlb.cli.client import Server, read_fields, read_rows
from tarragonlb.settings.crosscheck import SourceDocument

UNCHANGED = 'unchanged'


def apply_documents(
    server: Server, documents: Iterable[SourceDocument]
) -> Iterator[dict[str, Any]]:
    """Yield a row for each document: its path, version and what was done.

    Raises ``CallError`` at the first document that is refused.
    """
    entries = read_rows(server.call('GET', '/v1/settings'))
    present = {entry.get('path'): entry for entry in entries}
    for document in documents:
        entry = present.get(document.path, {'version': 0, 'text': None})
        if entry['text'] == document.text:
            yield _describe(document, entry, UNCHANGED)
        else:
            answer = publish(server, document, int(entry['version']))
            done = 'changed' if entry['version'] else 'new'
            yield _describe(document, answer, done)


def publish(
    server: Server, document: SourceDocument, version: int
) -> dict[str, Any]:
    """Put a document in force in place of a version; return its entry."""
    headers = {
        'if-match': str(version),
        'tarragon-source': quote(document.source, safe='/ '),
    }
    target = f'/v1/settings/{quote(document.path.strip("/"))}'
    body = document.text.encode()
    return read_fields(server.call('PUT', target, body, headers))


def _describe(
    document: SourceDocument, entry: dict[str, Any], done: str
) -> dict[str, Any]:
    return {
        'path': document.path,
        'done': done,
        'version': entry.get('version'),
        'offset': entry.get('offset'),
        'source': document.source,
    }

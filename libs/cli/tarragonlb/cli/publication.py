"""Publishes the documents of a folder that differ from those in force.

Each document replaces exactly the version that was read before, so a
concurrent change by somebody else is not overwritten.  It is reported, and the
remaining documents are not published.
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
    """Publish changed documents; yield a row with the result of each document.

    Raise ``CallError`` for the first document that is refused.
    """
    entries = read_rows(server.call('GET', '/v1/settings'))
    entry_by_path = {entry.get('path'): entry for entry in entries}
    for document in documents:
        entry = entry_by_path.get(document.path, {'version': 0, 'text': None})
        if entry['text'] == document.text:
            yield _describe(document, entry, UNCHANGED)
        else:
            answer = publish(server, document, int(entry['version']))
            done = 'changed' if entry['version'] else 'new'
            yield _describe(document, answer, done)


def publish(
    server: Server, document: SourceDocument, version: int
) -> dict[str, Any]:
    """Replace a version of a document; return the new entry."""
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

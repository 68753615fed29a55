"""Builds the OpenAPI document of the daemon's HTTP interfaces.

Paths and methods are read from the routes, so none can be missing.  Schemas of
request and response bodies are generated from the classes that the handlers
decode and encode; ``apioperations`` maps operations to these classes.
"""

import inspect
from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

import msgspec
from starlette.routing import Route

from tarragonlb.daemon.apioperations import (
    CALL_HEADERS,
    DEFAULT_OPERATION,
    OPERATIONS,
    Operation,
    RefusalAnswer,
)

Tree: TypeAlias = dict[str, Any]
OPENAPI_VERSION = '3.1.0'
SCHEMA_REFERENCE = '#/components/schemas/{name}'
JSON_TYPE = 'application/json'
METHODS = ('get', 'post', 'put', 'delete')


def build_document(routes: Iterable[Route]) -> Tree:
    """Return the OpenAPI document as plain dictionaries and lists."""
    types = [RefusalAnswer, *_list_types()]
    components = _make_schemas(types)[1]
    paths: Tree = {'/call/{service}/{path}': _describe_call()}
    for route in routes:
        path = route.path.replace(':path}', '}')
        described = paths.setdefault(path, {})
        described.update(_describe_route(route, path))
    return {
        'openapi': OPENAPI_VERSION,
        'info': {'title': 'tarragonlb', 'version': '1'},
        'security': [{'token': []}],
        'paths': dict(sorted(paths.items())),
        'components': {
            'schemas': dict(sorted(components.items())),
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
        },
    }


def _make_schemas(types: Iterable[Any]) -> tuple[tuple[Tree, ...], Tree]:
    return msgspec.json.schema_components(
        types, schema_hook=_describe_unknown_type, ref_template=SCHEMA_REFERENCE
    )


def _describe_unknown_type(value_type: type) -> Tree:
    return {'title': value_type.__name__}


def _list_types() -> Iterator[Any]:
    for operation in OPERATIONS.values():
        if operation.body:
            yield operation.body
        if operation.answer:
            yield operation.answer


def _describe_route(route: Route, path: str) -> Tree:
    summary = inspect.getdoc(route.endpoint) or ''
    allowed = {method.lower() for method in route.methods or ()}
    return {
        method: _describe_operation(
            OPERATIONS.get(f'{method} {path}', DEFAULT_OPERATION), summary, path
        )
        for method in METHODS
        if method in allowed
    }


def _describe_operation(operation: Operation, summary: str, path: str) -> Tree:
    described: Tree = {
        'summary': summary.partition('\n')[0],
        'parameters': [
            *_describe_path_parameters(path),
            *map(_describe_header, operation.headers),
        ],
        'responses': {
            str(operation.status): _describe_response(operation.answer),
            'default': _describe_response(RefusalAnswer),
        },
    }
    if operation.body:
        described['requestBody'] = {
            'content': _describe_content(operation.body)
        }
    if operation.is_open:
        described['security'] = []
    return described


def _describe_call() -> Tree:
    operation = Operation(headers=CALL_HEADERS)
    described = _describe_operation(
        operation,
        'Forward a request to an endpoint of a service of the team.',
        '/call/{service}/{path}',
    )
    return dict.fromkeys(METHODS, described)


def _describe_path_parameters(path: str) -> Iterator[Tree]:
    for part in path.split('/'):
        if part.startswith('{'):
            yield {
                'name': part.strip('{}'),
                'in': 'path',
                'required': True,
                'schema': {'type': 'string'},
            }


def _describe_header(text: str) -> Tree:
    name, _, meaning = text.partition(': ')
    return {
        'name': name,
        'in': 'header',
        'description': meaning,
        'schema': {'type': 'string'},
    }


def _describe_response(value_type: Any) -> Tree:
    described: Tree = {'description': 'The response body.'}
    if value_type:
        described['content'] = _describe_content(value_type)
    return described


def _describe_content(value_type: Any) -> Tree:
    schema = _make_schemas([value_type])[0][0]
    return {JSON_TYPE: {'schema': schema}}

r"""JSON-with-comments documents whose fields know their line numbers.

>>> text = "{\n \"plans\": []}"
>>> document = parse_document(text, file="plans.jsonc")
>>> document.line_of(("plans",))
2
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeVar, final

import json5
from json5.model import JSONArray, JSONObject
from json5.parser import parse_source
from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)

FieldPath = tuple[str | int, ...]
ERROR_LINE = re.compile(r"line (\d+)")
MAX_DOCUMENT_BYTES = 900_000

REMEDIES = {
    "missing": "add the field",
    "extra_forbidden": "remove the field or correct its name",
    "enum": "use one of the values that the message lists",
}
DEFAULT_REMEDY = "give a value as the schema says (masticdeckctl schema)"

logging.getLogger("json5").setLevel(logging.WARNING)


@final
@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One error of a document, with the place and the remedy."""

    file: str
    line: int
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return ``file:line: field: problem; remedy``."""
        return f"{self.file}:{self.line}: {self.field}: {self.problem}; {self.remedy}"


@final
@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document: its plain value and the line of each field."""

    file: str
    value: Any
    lines: dict[FieldPath, int]
    faults: tuple[Fault, ...] = ()

    def line_of(self, path: FieldPath) -> int:
        """Return the line of a field, or of its nearest parent that exists."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def fault(self, path: FieldPath, problem: str, remedy: str) -> Fault:
        """Return a fault at a field."""
        field = format_path(path) or "file"
        return Fault(self.file, self.line_of(path), field, problem, remedy)


def parse_document(text: str, *, file: str) -> Document:
    """Parse a document; syntax errors and repeated keys become faults."""
    if len(text) > MAX_DOCUMENT_BYTES:
        problem = f"the document is longer than {MAX_DOCUMENT_BYTES} bytes"
        return failed(file, 1, problem, "split or shorten the document")
    try:
        root = parse_source(text).value
        value = json5.loads(text)
    except (ValueError, RecursionError) as error:
        found = ERROR_LINE.search(str(error))
        line = int(found.group(1)) if found else text.count("\n") + 1
        problem = str(error).splitlines()[0] if str(error) else "nesting is too deep"
        if "multiple errors" in problem:
            problem = str(error).splitlines()[2].strip()
        return failed(file, line, problem, "correct the syntax (JSON with comments)")
    lines: dict[FieldPath, int] = {}
    repeated: list[Fault] = []
    for path, line in walk(root, ()):
        if path in lines:
            field = format_path(path)
            remedy = "keep one of the two"
            repeated.append(Fault(file, line, field, "the key occurs twice", remedy))
        lines[path] = line
    return Document(file, value, lines, tuple(repeated))


def failed(file: str, line: int, problem: str, remedy: str) -> Document:
    """Return a document that could not be parsed."""
    return Document(file, None, {}, (Fault(file, line, "file", problem, remedy),))


def key_name(key: Any) -> str:
    """Return the text of a key, which may be quoted, empty or a bare word."""
    quoted = getattr(key, "characters", None)
    return str(key.name if quoted is None else quoted)


def walk(node: Any, path: FieldPath) -> Iterator[tuple[FieldPath, int]]:
    """Yield the path and line of every value, parents first."""
    yield path, int(node.lineno)
    if isinstance(node, JSONObject):
        for pair in node.key_value_pairs:
            name = key_name(pair.key)
            yield from walk(pair.value, (*path, name))
    elif isinstance(node, JSONArray):
        for index, value in enumerate(node.values):
            yield from walk(value, (*path, index))


def format_path(path: FieldPath) -> str:
    """Return a path as ``plans[0].capacity``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def validate(document: Document, model: type[M]) -> tuple[M | None, list[Fault]]:
    """Check a document against a model and return the value or all faults."""
    if document.faults:
        return None, list(document.faults)
    try:
        return model.model_validate(document.value), []
    except ValidationError as error:
        return None, [
            document.fault(
                tuple(part for part in fault["loc"] if part != "[key]"),
                fault["msg"],
                REMEDIES.get(fault["type"], DEFAULT_REMEDY),
            )
            for fault in error.errors()
        ]

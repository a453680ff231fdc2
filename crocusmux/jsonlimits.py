"""Limits the nesting of JSON that another writer may have put into the store."""

import re

# Deeper values than any message of the platform or the product has.  Decoders
# fail on some hundred levels, and on the whole document.
MAX_DEPTH = 64

# A string without an end is one token up to the end of the document.  If it
# were none, a search would start at each quotation mark in it.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{\]}]', re.DOTALL)
_OPENING = b"[{"


def prune(data: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Returns JSON with ``null`` in place of all deeper arrays and objects.

    Args:
        data: A JSON document; a malformed one stays malformed.
        max_depth: Levels of nesting that are kept.
    """
    kept: list[bytes] = []
    depth = copied_to = 0
    for token in _TOKEN.finditer(data):
        first = token.group()[:1]
        if first == b'"':
            continue
        if first in _OPENING:
            depth += 1
            if depth == max_depth + 1:
                kept += [data[copied_to : token.start()], b"null"]
        else:
            depth -= 1
            if depth == max_depth:
                copied_to = token.end()
    if depth > max_depth:
        # The document ends inside the deep value.
        return b"".join(kept)
    return b"".join([*kept, data[copied_to:]])

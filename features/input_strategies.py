"""Strategies of malformed input for the decoders of the forwarding path."""

import copy
import json
import math

from hypothesis import strategies
import msgspec

# Bounds of what decoders or encoders accept are more likely than by chance.
BOUNDS = [
    n + d
    for n in (0, 10**9, 2**16, 2**31, 2**32, 2**63, 2**64)
    for d in (-1, 0, 1)
]
INTEGERS = strategies.one_of(
    strategies.sampled_from([*BOUNDS, -(2**63) - 1, 10**4000]),
    strategies.integers(-(2**70), 2**70),
)
FLOATS = strategies.one_of(
    strategies.sampled_from([-1.0, 0.5, 1e9, 1e10, 1e300, -0.0, 5e-324]),
    strategies.floats(allow_nan=False, allow_infinity=False),
)
TEXTS = strategies.one_of(
    strategies.sampled_from(
        ["", "\n", "\x00", "a\nevent=forged", "10.0.0.1:1", "[::1]:1", "²"]
    ),
    strategies.text(max_size=8),
)
SCALARS = strategies.one_of(
    strategies.none(), strategies.booleans(), INTEGERS, FLOATS, TEXTS
)


def nested(scalars):
    """Returns a strategy of lists and dicts of scalars."""
    return strategies.recursive(
        scalars,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=3),
            strategies.dictionaries(TEXTS, inner, max_size=3),
        ),
        max_leaves=5,
    )


JSON_VALUES = nested(SCALARS)
JSON_TYPES = {int: INTEGERS, float: FLOATS, str: TEXTS}
PACKED_INTEGERS = strategies.one_of(
    strategies.sampled_from([n for n in BOUNDS if n < 2**64]),
    strategies.integers(-(2**63), 2**64 - 1),
)
PACKED_FLOATS = strategies.one_of(
    FLOATS, strategies.sampled_from([math.nan, math.inf, -math.inf])
)
PACKED_VALUES = nested(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        PACKED_INTEGERS,
        PACKED_FLOATS,
        TEXTS,
        strategies.binary(max_size=14),
    )
)
PACKED_TYPES = {int: PACKED_INTEGERS, float: PACKED_FLOATS, str: TEXTS}
# More levels than a decoder of msgspec takes.
DEPTH = 20_000
DEEP = [
    text * depth
    for text in (b"[", b'{"a":', b'"\\"', b"\x91", b"\x81\xa1a")
    for depth in (65, DEPTH)
]


def weighted(*choices):
    """Returns a strategy that uses each of others as often as it is given.

    ``one_of`` drops strategies that are given again.
    """
    return strategies.sampled_from(choices).flatmap(lambda chosen: chosen)


def with_change(template, by_type, values):
    """Returns a strategy of copies of a template with one value changed.

    Args:
        template: Nested lists and dicts.
        by_type: Strategies of other values of the same type.
        values: Strategy of values of any type.
    """
    positions = list(paths(template))

    @strategies.composite
    def change(draw):
        *parents, last = draw(strategies.sampled_from(positions))
        document = copy.deepcopy(template)
        inner = document
        for key in parents:
            inner = inner[key]
        same_type = by_type.get(type(inner[last]), values)
        if isinstance(inner[last], list):
            repeated = [inner[last] * times for times in (0, 2, 40)]
            same_type = strategies.sampled_from(repeated)
        inner[last] = draw(weighted(*[same_type] * 3, values))
        return document

    return change()


def json_of(*templates):
    """Returns a strategy of bytes, JSON, and changed templates as JSON."""
    changed = [with_change(x, JSON_TYPES, JSON_VALUES) for x in templates]
    encoded = strategies.one_of(*changed).map(to_json)
    deep = b"[" * DEPTH + b"]" * DEPTH
    extended = [to_json(x)[:-1] + b',"x":' + deep + b"}" for x in templates]
    return weighted(
        strategies.binary(max_size=80),
        strategies.sampled_from([*DEEP, *extended]),
        JSON_VALUES.map(to_json),
        # Nearly all other inputs are malformed in the same way.
        *[encoded] * 7,
    )


def to_json(value):
    return json.dumps(value).encode()


def packed_of(*templates):
    """Returns a strategy of bytes, msgpack, and changed templates in it."""
    changed = [with_change(x, PACKED_TYPES, PACKED_VALUES) for x in templates]
    encoded = strategies.one_of(*changed).map(msgspec.msgpack.encode)
    extended = [extend_packed(x) for x in templates]
    return weighted(
        strategies.binary(max_size=80),
        strategies.sampled_from([*DEEP, *extended]),
        PACKED_VALUES.map(msgspec.msgpack.encode),
        *[encoded] * 7,
    )


def extend_packed(template):
    """Returns a template with a deep value in a field of a newer release."""
    deep = b"\x91" * DEPTH + b"\x90"
    if isinstance(template, list):
        extended = [*template, None]
    else:
        extended = {**template, "x": None}
    # None takes the last byte.
    return msgspec.msgpack.encode(extended)[:-1] + deep


def paths(value, prefix=()):
    """Yields the path of each value in nested lists and dicts."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*prefix, key)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*prefix, key))

"""Tests of prompt digests and the prefix index."""

from baobabmux_core import messages, prefixes


def _parts(*lengths, start=0):
    return tuple(
        messages.PrefixPart(start + length, length) for length in lengths
    )


def test_prompts_share_digests_up_to_their_difference():
    """Guards against digests that are not determined by the prefix alone."""
    common = b"x" * 4 * 200
    first = prefixes.digest_prompt(common + b"a" * 4000)
    second = prefixes.digest_prompt(common + b"b" * 4000)
    shared = [a for a, b in zip(first, second, strict=True) if a == b]
    assert max(part.tokens for part in shared) == 192
    assert first[-1] != second[-1]
    assert len(prefixes.digest_prompt(b"x" * 1_000_000)) <= 6


def test_index_is_bounded_and_evicts_the_least_recently_used():
    """Guards against unbounded memory and entries of evicted prefixes."""
    index = prefixes.PrefixIndex(1000)
    for start in (1000, 2000, 1000, 3000):
        index.used(_parts(200, 400, start=start))
    assert index.tokens <= 1000
    assert index.cached_tokens(_parts(200, 400, start=3000)) == 400
    assert index.cached_tokens(_parts(200, 400, start=1000)) == 400
    assert index.cached_tokens(_parts(200, 400, start=2000)) < 400
    for digest in range(10_000):
        index.stored(digest, 64)
    assert len(index) <= 64


def test_events_of_the_endpoint_correct_the_index():
    """Guards against routing to an endpoint that has evicted the prefix."""
    index = prefixes.PrefixIndex(1000)
    index.used(_parts(200, 400))
    index.evicted(400)
    assert index.cached_tokens(_parts(200, 400)) == 200
    index.stored(400, 400)
    assert index.cached_tokens(_parts(200, 400)) == 400


def test_home_follows_the_shared_prefix_not_the_unique_end():
    """Guards against a home data centre chosen by a unique part of a prompt.

    The prompts share a long prefix and differ in their ends.
    """
    selector = prefixes.HomePrefixSelector()
    prompts = [
        (messages.PrefixPart(file, 2048), messages.PrefixPart(100 + n, 3072))
        for n, file in enumerate([1, 2, 3, 4] * 5)
    ]
    assert {selector.choose(prompt) for prompt in prompts} == {1, 2, 3, 4}
    assert selector.choose((messages.PrefixPart(9, 1024),)) is None


def test_prefix_of_most_prompts_has_no_home():
    """Guards against one data centre that gets all prompts of a template."""
    selector = prefixes.HomePrefixSelector()
    for number in range(100):
        parts = (messages.PrefixPart(7, 2048),)
        chosen = selector.choose(parts)
        selector.choose((messages.PrefixPart(1000 + number, 2048),))
    assert chosen is None

"""Keys that keep requests with a common prompt prefix together."""

import xxhash

# Part of a message that goes into a key.
KEY_CHARACTERS = 4096


def make_key(organisation: str, messages: list[dict]) -> str:
    """Returns the affinity key of a chat, empty without messages.

    It covers the system prompt and the first message after it, so it stays
    the same while messages are added to a chat. It contains the
    organisation: organisations are competitors, and a cached prefix shortens
    the first token, which would show a common prompt.

    Args:
        organisation: Name of the organisation.
        messages: Messages with ``role`` and ``content``, oldest first.
    """
    parts = []
    for message in messages:
        parts.append(str(message.get('content', ''))[:KEY_CHARACTERS])
        if message.get('role') not in ('system', 'developer'):
            break
    if not parts:
        return ''
    joined = '\0'.join([organisation, *parts])
    return xxhash.xxh3_64_hexdigest(joined.encode(errors='replace'))

"""Keys that keep requests with a common prompt prefix together."""

import xxhash

# A system prompt this long (about 64 tokens) is worth caching by itself, and
# callers share it; a shorter one says too little about the whole prompt.
SHARED_CHARACTERS = 256
KEY_CHARACTERS = 1024


def make_key(organisation: str, messages: list[dict]) -> str:
    """Returns the affinity key of a chat, empty without messages.

    The key stays the same while messages are added to a chat. It contains
    the organisation: organisations are competitors, and a cached prefix
    shortens the first token, which would show a common prompt.

    Args:
        organisation: Name of the organisation.
        messages: Messages with ``role`` and ``content``, oldest first.
    """
    parts = []
    size = 0
    for message in messages:
        is_system = message.get('role') in ('system', 'developer')
        if not is_system and size >= SHARED_CHARACTERS:
            break
        text = str(message.get('content', ''))[: KEY_CHARACTERS - size]
        parts.append(text)
        size += len(text)
        if not is_system or size >= KEY_CHARACTERS:
            break
    if not parts:
        return ''
    joined = '\0'.join([organisation, *parts])
    return xxhash.xxh3_64_hexdigest(joined.encode(errors='replace'))

"""Affinity keys of requests that share a prompt prefix."""

import xxhash

# Characters of each message that are part of the key.
MAX_MESSAGE_CHARACTERS = 4096


def make_key(organisation: str, messages: list[dict]) -> str:
    """Returns the affinity key of a chat, empty without messages.

    The key covers the system prompt and the first message after it, so it
    does not change when messages are appended to the chat.

    It also covers the organisation. Organisations are competitors: a cached
    prefix shortens the time to first token, so a shared key would reveal
    that another organisation uses the same prompt.

    Args:
        organisation: Name of the organisation.
        messages: Messages with ``role`` and ``content``, oldest first.
    """
    parts = []
    for message in messages:
        parts.append(str(message.get('content', ''))[:MAX_MESSAGE_CHARACTERS])
        if message.get('role') not in ('system', 'developer'):
            break
    if not parts:
        return ''
    joined = '\0'.join([organisation, *parts])
    return xxhash.xxh3_64_hexdigest(joined.encode(errors='replace'))

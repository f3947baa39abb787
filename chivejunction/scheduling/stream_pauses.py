"""Pauses that the prefill of a prompt causes in the streams of a server.

Load pattern: engines read prompts in chunks between the tokens of their
streams. A large model on a slow engine takes so long for a chunk that an event
of each stream there, which holds several tokens, comes later than its caller
tolerates. The prompt itself would hardly notice: its first event is in time.
It goes to a faster engine, or to one with fewer streams.
"""

# Prompt tokens that an engine reads between two tokens of its streams.
CHUNK_TOKENS = 4096
# Share of the tolerated pause from which streams count as disturbed. Other
# prompts that are read at the same time lengthen the pause.
TOLERATED_SHARE = 0.8
# Cost of each disturbed stream, as a share of the objective of the request
# that disturbs it: the caller of the stream loses what this one gains.
DISTURBED_STREAM_SHARE = 0.05


def estimate_pause(
    prefill_seconds: float, tokens: int, event_tokens: int
) -> float:
    """Returns the pause between two events while a prompt is read.

    Args:
        prefill_seconds: Time to read the prompt on this server, in seconds.
        tokens: Prompt tokens that are read.
        event_tokens: Tokens of a stream's event.

    Returns:
        The pause in seconds, at most the time of the prefill.
    """
    chunk_count = max(1.0, tokens / CHUNK_TOKENS)
    return prefill_seconds * min(1.0, event_tokens / chunk_count)


def is_disturbing(pause: float, tolerated_pause: float) -> bool:
    """Returns whether a pause delays events more than callers tolerate.

    Args:
        pause: Pause that a prefill causes, in seconds.
        tolerated_pause: Longest pause that callers tolerate, in seconds; 0 if
            any is tolerated.
    """
    return bool(tolerated_pause) and pause > TOLERATED_SHARE * tolerated_pause


def estimate_penalty(disturbed_streams: float, objective: float) -> float:
    """Returns the cost of disturbed streams in seconds.

    Args:
        disturbed_streams: Streams whose events come too late.
        objective: Objective in seconds of the request that disturbs them.
    """
    return DISTURBED_STREAM_SHARE * objective * disturbed_streams

"""Validated request models of the chat completions API."""

import json
from typing import Annotated
from typing import Any

import pydantic

from chivejunction import errors

AUTO_MODEL = 'auto'


class ChatMessage(pydantic.BaseModel):
    """One message of a conversation; unknown fields are kept."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: Annotated[str, pydantic.StringConstraints(min_length=1)]
    content: Any = None


class StreamOptions(pydantic.BaseModel):
    """Options of an event stream; unknown fields are kept."""

    model_config = pydantic.ConfigDict(extra='allow')

    include_usage: pydantic.StrictBool | None = None


class ChatRequest(pydantic.BaseModel):
    """Body of a chat completion request; unknown fields are kept."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: Annotated[
        str, pydantic.StringConstraints(min_length=1, max_length=127)
    ]
    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]
    stream: pydantic.StrictBool | None = False
    stream_options: StreamOptions | None = None
    max_tokens: Annotated[int, pydantic.Field(ge=1)] | None = None


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parses and validates the body of a chat completion request.

    Raises:
        RefusalError: The body is not a valid chat request.
    """
    try:
        return ChatRequest.model_validate_json(body)
    except pydantic.ValidationError as exc:
        problems = '; '.join(
            f'{".".join(map(str, e["loc"])) or "body"}: {e["msg"]}'
            for e in exc.errors()[:10]
        )
        raise errors.RefusalError('invalid_request', problems) from exc


def _reject_constant(name: str):
    """Rejects NaN and infinities, which json.loads accepts by default."""
    raise ValueError(f'{name} is not JSON')


def make_engine_body(body: bytes, version: str) -> bytes:
    """Returns the request body for an engine, naming the model version.

    Args:
        body: Request body of the caller, accepted by parse_chat_request.
        version: Name of the model version to run.

    Raises:
        RefusalError: The body cannot be forwarded as valid JSON.
    """
    try:
        value = json.loads(body, parse_constant=_reject_constant)
        value['model'] = version
        return json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as exc:
        raise errors.RefusalError('invalid_request', f'body: {exc}') from exc

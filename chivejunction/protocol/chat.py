"""Validated models of the callers' chat completions API."""

from typing import Annotated
from typing import Any

import pydantic

from chivejunction import errors

AUTO_MODEL = 'auto'


class ChatMessage(pydantic.BaseModel):
    """One message of a conversation; unknown fields are passed on."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str
    content: Any = None


class ChatRequest(pydantic.BaseModel):
    """Body of a chat completion; unknown fields are passed on."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: Annotated[str, pydantic.StringConstraints(max_length=127)]
    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]
    stream: bool = False


def parse_chat(body: bytes) -> ChatRequest:
    """Returns the validated request of a body.

    Raises:
        RefusalError: The body is not a valid chat request.
    """
    try:
        return ChatRequest.model_validate_json(body)
    except pydantic.ValidationError as exc:
        problems = '; '.join(
            f'{".".join(map(str, e["loc"])) or "body"}: {e["msg"]}'
            for e in exc.errors()
        )
        raise errors.RefusalError('invalid_request', problems) from exc

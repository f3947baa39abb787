"""A part that crashes servers is not found ahead of many rare parts."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from shared_2 import bad_part  # noqa: E402
from shared_2 import kit  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def make_case(record) -> bad_part.Case:
    """Returns the case with twelve rarely used documents in a prompt."""
    return bad_part.Case(record, 12, 300, False, HAS_TROUBLE)


if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: make_case(record).play(),
    )

"""A part that crashes servers once the first event is out is never found."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from shared_2 import bad_part  # noqa: E402
from shared_2 import kit  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: bad_part.Case(record, 1, 20, True, HAS_TROUBLE).play(),
    )

"""A part that crashes servers is not found ahead of many rare parts."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from shared_2 import bad_part  # noqa: E402
from shared_2 import kit  # noqa: E402

if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: bad_part.Case(record, 12, 300, False).play(),
    )

"""chivejunctionctl: the operators' command line."""

import fire


class Commands:
    """Commands for operators."""


def main() -> None:
    """Runs the program."""
    fire.Fire(Commands)

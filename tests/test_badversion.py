"""The measurement of exposure to a bad version."""

import anyio

from bench import badversion
from chivejunction.coordination import configuration


class TestDeclaration:
    """Guards against a bench that no longer fits the configuration API."""

    def test_rollout_starts_on_the_declared_resources(self):
        async def check():
            source = configuration.ConfigStore(badversion.Store())
            await badversion.declare(source)
            await badversion.start_rollout(source)
            document, _ = await source.read()
            share = document.resources['rollout']['r']['share']
            assert share == badversion.FIXED_SHARE

        anyio.run(check)

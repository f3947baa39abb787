"""Tests of the measurement of responses by a bad version."""

import anyio

from bench import badversion
from chivejunction.coordination import configuration


class TestDeclaration:
    """Guards against resources that the configuration API rejects.

    The measurement writes its resources and its rollout through the API, so a
    change of their schema breaks it.
    """

    def test_rollout_starts_on_the_declared_resources(self):
        async def check():
            config_store = configuration.ConfigStore(
                badversion.InMemoryStore()
            )
            await badversion.declare_resources(config_store)
            await badversion.start_rollout(config_store)
            document, _ = await config_store.read()
            share = document.resources['rollout']['r']['share']
            assert share == badversion.FIXED_SHARE

        anyio.run(check)

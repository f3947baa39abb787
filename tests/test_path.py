"""End-to-end requests through a gateway, agents and engine processes."""

import json

import httpcore

from bench import fleet

KEY = {'authorization': 'Bearer temple-key'}
QUESTION = {'role': 'user', 'content': 'มีเครื่องขยายเสียงไหม'}


class TestWholePath:
    """Guards against faults on the path from caller to engine and back.

    Gateway, agents and engines run as separate processes.
    """

    def test_chat_answers_from_the_named_version(self, small_fleet):
        url = small_fleet.members['gw-1'].url()
        status, body = fleet.call_json(
            'POST',
            f'{url}/v1/chat/completions',
            {'model': 'large', 'messages': [QUESTION]},
            KEY,
        )
        assert status == 200
        assert body['model'] == 'large-1'
        assert body['choices'][0]['message']['content'].startswith('w0 w1')

    def test_stream_is_whole(self, small_fleet):
        url = small_fleet.members['gw-1'].url()
        request = {'model': 'small', 'messages': [QUESTION], 'stream': True}
        response = httpcore.request(
            'POST',
            f'{url}/v1/chat/completions',
            headers={**KEY, 'content-type': 'application/json'},
            content=json.dumps(request).encode(),
        )
        assert response.status == 200
        lines = [line for line in response.content.split(b'\n') if line]
        assert lines[-1] == b'data: [DONE]'
        assert len(lines) == 22

    def test_service_call_runs_once(self, small_fleet):
        url = small_fleet.members['gw-1'].url()
        status, body = fleet.call_json(
            'POST',
            f'{url}/services/hire-desk/deposits',
            {'amount': 500},
            {**KEY, 'x-business-key': 'deposit-1'},
        )
        assert status == 200
        assert body['run'] == 1
        runs = fleet.call_json(
            'GET', f'{small_fleet.members["hire-engine"].url()}/runs'
        )[1]
        assert len(runs['deposit-1']) == 1

    def test_model_of_another_organisation_is_refused(self, small_fleet):
        url = small_fleet.members['gw-1'].url()
        status, body = fleet.call_json(
            'POST',
            f'{url}/v1/chat/completions',
            {'model': 'large', 'messages': [QUESTION]},
            {'authorization': 'Bearer school-key'},
        )
        assert status == 403
        assert body['error']['code'] == 'version_not_allowed'
        assert body['error']['verdict'] == 'not_run'

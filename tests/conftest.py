"""What a test leaves open is closed behind it: all tests in one process must not run out of descriptors."""

import pytest
from ingress import Client, Peer


@pytest.fixture(autouse=True)
def closed_behind():
    yield
    for made, end in ((Peer.made, Peer.stop), (Client.made, lambda client: client.sock.close())):
        while made:
            try:
                end(made.pop())
            except OSError:
                pass  # the test has closed it

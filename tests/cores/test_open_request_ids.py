"""Ids of open requests in shared memory: each is open in at most one worker at a time."""

from hypothesis import given
from hypothesis import strategies as st
from shared_memory_builders import new_memory

from mapleline.cores.open_request_ids import OpenRequestIds, clear_open_request_ids


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.booleans()), max_size=60))
def test_an_id_is_open_in_one_worker_at_a_time(steps):
    memory = new_memory(3)
    workers = [OpenRequestIds(memory, 3, n) for n in range(3)]
    open_ids = {}  # the worker in which each id is open
    for worker, request, is_claim in steps:
        request_id = b"id%d" % request
        if is_claim:
            assert workers[worker].claim(request_id) == (request_id not in open_ids)
            open_ids.setdefault(request_id, worker)
        elif open_ids.get(request_id) == worker:
            workers[worker].release(request_id)
            del open_ids[request_id]
    open_counts = [list(open_ids.values()).count(n) for n in range(3)]
    assert [clear_open_request_ids(memory, n) for n in range(3)] == open_counts
    assert all(OpenRequestIds(memory, 3, 0).claim(b"id%d" % n) for n in range(6))


def test_ids_beyond_the_words_of_a_set_are_still_open_in_their_worker():
    ids = OpenRequestIds(new_memory(2), 2, 0)
    request_ids = [b"%d" % n for n in range(40_000)]  # more than the region has words
    assert all(ids.claim(request_id) for request_id in request_ids)
    assert ids.unpublished > 0
    assert not any(ids.claim(request_id) for request_id in request_ids)
    for request_id in request_ids:
        ids.release(request_id)
    assert not any(ids._own.tolist())

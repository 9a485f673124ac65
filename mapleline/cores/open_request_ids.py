"""Ids of the open requests of one ingress in shared memory, so that no id is open in two workers at a time."""

from __future__ import annotations

from hashlib import blake2b

from .shared_memory import ID_BYTES, ID_REGION_BYTES, ID_SETS, IDS_PER_SET, id_region

EMPTY = 0  # value of a free word
NOT_PUBLISHED = -1  # in place of an index: the id's set had no free word


def _hash_id(request_id: bytes) -> int:
    """Return a 64-bit hash that is never `EMPTY`."""
    return int.from_bytes(blake2b(request_id, digest_size=ID_BYTES).digest()) or 1


class OpenRequestIds:
    """One worker's access to the ids: it writes its own region and reads those of the other workers.

    Attributes:
        unpublished: Total number of claimed ids that other workers cannot see, because the id's set was full.
    """

    def __init__(self, memory: memoryview, workers: int, worker: int) -> None:
        """Attach to the regions in `memory` as worker number `worker` of `workers`."""
        self._own = id_region(memory, worker)
        self._others = [id_region(memory, other) for other in range(workers) if other != worker]
        self._index_by_id: dict[bytes, int] = {}  # in the own region, or NOT_PUBLISHED
        self.unpublished = 0

    def claim(self, request_id: bytes) -> bool:
        """Register an id as open, unless it is open in this or another worker.

        The id is published before the other regions are searched.  If two workers claim it at the same moment, at
        least one sees the other's entry, so the id is never open twice.  Both claims may be rejected.

        Returns:
            Whether the id is now open in this worker.
        """
        if request_id in self._index_by_id:
            return False
        hashed = _hash_id(request_id)
        set_start = (hashed % ID_SETS) * IDS_PER_SET
        index = self._publish(hashed, set_start)
        for region in self._others:
            if hashed in region[set_start : set_start + IDS_PER_SET].tolist():
                self._withdraw(index)
                return False
        self._index_by_id[request_id] = index
        return True

    def _publish(self, hashed: int, set_start: int) -> int:
        """Write the hash to a free word of its set; returns the word's index, or `NOT_PUBLISHED`."""
        for index in range(set_start, set_start + IDS_PER_SET):
            if self._own[index] == EMPTY:
                self._own[index] = hashed
                return index
        self.unpublished += 1
        return NOT_PUBLISHED

    def _withdraw(self, index: int) -> None:
        if index != NOT_PUBLISHED:
            self._own[index] = EMPTY

    def release(self, request_id: bytes) -> None:
        """Remove the id of a request that has ended."""
        self._withdraw(self._index_by_id.pop(request_id, NOT_PUBLISHED))


def clear_open_request_ids(memory: memoryview, worker: int) -> int:
    """Clear the region of a worker that has exited; returns the number of published ids that it had open."""
    region = id_region(memory, worker)
    open_requests = sum(1 for word in region.tolist() if word != EMPTY)
    region.cast("B")[:] = bytes(ID_REGION_BYTES)
    return open_requests

"""The ids of the open requests of one ingress, in shared memory: no id is open in two workers at a time."""

from __future__ import annotations

from hashlib import blake2b

from .shared_memory import ID_BYTES, ID_REGION_BYTES, ID_SETS, IDS_PER_SET, id_region

EMPTY = 0  # a word that is free
NOT_PUBLISHED = -1  # index of an id for which its set had no free word


def _hash_id(request_id: bytes) -> int:
    """A hash of 64 bits that is never `EMPTY`."""
    return int.from_bytes(blake2b(request_id, digest_size=ID_BYTES).digest()) or 1


class OpenRequestIds:
    """One worker's view: its own region, which it writes, and the others', which it reads.

    Attributes:
        unpublished: Ids claimed in all that the others cannot see, since their set was full.
    """

    def __init__(self, memory: memoryview, workers: int, worker: int) -> None:
        """Use the regions in this shared memory as worker number `worker` of `workers`."""
        self._own = id_region(memory, worker)
        self._others = [id_region(memory, other) for other in range(workers) if other != worker]
        self._index_by_id: dict[bytes, int] = {}  # in the own region, or NOT_PUBLISHED
        self.unpublished = 0

    def claim(self, request_id: bytes) -> bool:
        """Register an id as open, unless it is open in this or another worker.

        It is published first and looked for afterwards: of two workers that claim it at the same moment at least one
        sees the other, and no id is ever open twice.  Both may be rejected.

        Returns:
            Whether the id is now open here.
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
        """Write the hash to a free word of its set; returns the word's index or NOT_PUBLISHED."""
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
        """Note that a request has ended."""
        self._withdraw(self._index_by_id.pop(request_id, NOT_PUBLISHED))


def clear_open_request_ids(memory: memoryview, worker: int) -> int:
    """Clear the region of a worker that has exited.  Returns the number of requests that it had open."""
    region = id_region(memory, worker)
    open_requests = sum(1 for word in region.tolist() if word != EMPTY)
    region.cast("B")[:] = bytes(ID_REGION_BYTES)
    return open_requests

"""Buffers of a connection: a ring buffer for input and a queue of chunks for output.

Invariants: neither buffer holds more than its maximum; a memory view that was returned stays valid until the
next call; large chunks of output are not copied.
"""

from collections import deque

from calicofall.invariants import check_invariant

MIN_CAPACITY_BYTES = 4096
MAX_CAPACITY_BYTES = 1 << 23
NO_MEMORY = bytearray(1)  # of a buffer without content; nothing is written to it
NO_MEMORY_VIEW = memoryview(NO_MEMORY)
MAX_SPARE_BUFFERS = 16
# Memory of MIN_CAPACITY_BYTES that ring buffers have released: most hold their content for a moment.
spare_buffers: list[tuple[bytearray, memoryview]] = []


class RingBuffer:
    """Input that has not been parsed yet; its memory doubles on demand and is released when it is empty."""

    __slots__ = ("memory", "view", "offset", "length", "max_bytes")

    def __init__(self, max_bytes: int = MAX_CAPACITY_BYTES) -> None:
        self.max_bytes = max_bytes
        self.memory = NO_MEMORY
        self.view = NO_MEMORY_VIEW
        self.offset = 0
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def free_space(self, min_capacity: int = MIN_CAPACITY_BYTES) -> memoryview:
        """Returns the memory for the next bytes, never empty; the caller passes their number to `commit`.

        Args:
            min_capacity: The capacity of a buffer that has no memory yet.

        Raises:
            BufferError: The buffer is full and has its maximum size.
        """
        capacity = len(self.memory)
        if self.memory is NO_MEMORY:
            if spare_buffers and min_capacity == MIN_CAPACITY_BYTES:
                self.memory, self.view = spare_buffers.pop()
            else:
                self._allocate(min_capacity)
            capacity = min_capacity
        elif self.length == capacity:
            self._grow(capacity + 1)
            capacity = len(self.memory)
        if not self.length:
            self.offset = 0
        end = (self.offset + self.length) % capacity
        return self.view[end : self.offset if end < self.offset else capacity]

    def commit(self, count: int) -> None:
        """Adds the first `count` bytes of the free space to the buffer's content."""
        self.length += count
        check_invariant(self.length <= len(self.memory), "a ring buffer's length is within its capacity")

    def reserve(self, count: int) -> None:
        """Allocates memory for a value of `count` bytes, so that few reads from the socket receive it.

        Raises:
            BufferError: `count` is greater than the maximum size.
        """
        if count > max(len(self.memory), MIN_CAPACITY_BYTES):
            self._grow(count, exactly=True)

    def write(self, data: bytes | memoryview) -> None:
        """Appends bytes.

        Raises:
            BufferError: The content would exceed the maximum size.
        """
        if self.length + len(data) > len(self.memory):
            self._grow(self.length + len(data))
        written = 0
        while written < len(data):
            space = self.free_space()
            count = min(len(space), len(data) - written)
            space[:count] = data[written : written + count]
            self.commit(count)
            written += count

    def peek(self, count: int, skip: int = 0) -> bytes:
        """Returns a copy of up to `count` bytes after the first `skip` bytes, without removing them."""
        count = min(count, self.length - skip)
        capacity = len(self.memory)
        begin = (self.offset + skip) % capacity
        if begin + count <= capacity:
            return bytes(self.view[begin : begin + count])
        return bytes(self.view[begin:]) + bytes(self.view[: begin + count - capacity])

    def drop(self, count: int) -> None:
        """Removes the next `count` bytes."""
        self.offset = (self.offset + count) % len(self.memory)
        self.length -= count
        if not self.length:
            if len(self.memory) == MIN_CAPACITY_BYTES and len(spare_buffers) < MAX_SPARE_BUFFERS:
                spare_buffers.append((self.memory, self.view))
            self._release()

    def compact(self) -> None:
        """Releases the memory that the content does not need."""
        if self.length < len(self.memory) // 2:
            content = self.peek(self.length)
            self._release()
            if content:
                self._allocate(len(content))
                self.view[:] = content
                self.length = len(content)

    def allocated_bytes(self) -> int:
        """Returns the memory that is allocated."""
        return 0 if self.memory is NO_MEMORY else len(self.memory)

    def take(self, count: int) -> bytes:
        """Removes and returns up to `count` bytes."""
        data = self.peek(count)
        self.drop(len(data))
        return data

    def find(self, byte: int, skip: int = 0) -> int:
        """Returns the index of the first `byte` at or after index `skip`, or -1 if there is none."""
        capacity = len(self.memory)
        end = self.offset + self.length
        begin = self.offset + skip
        if begin < capacity:
            index = self.memory.find(byte, begin, min(end, capacity))
            if index >= 0:
                return index - self.offset
            begin = capacity
        if end > capacity:
            index = self.memory.find(byte, begin - capacity, end - capacity)
            if index >= 0:
                return index + capacity - self.offset
        return -1

    def _release(self) -> None:
        self.memory = NO_MEMORY
        self.view = NO_MEMORY_VIEW
        self.offset = 0
        self.length = 0

    def _allocate(self, capacity: int) -> None:
        self.memory = bytearray(capacity)
        self.view = memoryview(self.memory)
        self.offset = 0
        self.length = 0

    def _grow(self, needed: int, exactly: bool = False) -> None:
        capacity = needed if exactly else max(len(self.memory), MIN_CAPACITY_BYTES)
        while capacity < needed:
            capacity *= 2
        if capacity > self.max_bytes:
            raise BufferError(
                f"ring buffer: a capacity of {capacity} bytes exceeds the maximum of {self.max_bytes} bytes"
            )
        content = self.peek(self.length)
        self._allocate(capacity)
        self.view[: len(content)] = content
        self.length = len(content)


class OutputQueue:
    """Output that the transport has not accepted yet, in the chunks in which it was written."""

    __slots__ = ("chunks", "length", "max_bytes")

    def __init__(self, max_bytes: int = MAX_CAPACITY_BYTES) -> None:
        self.chunks: deque[memoryview] | None = None  # only while there is output: it takes half a kilobyte
        self.length = 0
        self.max_bytes = max_bytes

    def __len__(self) -> int:
        return self.length

    def write(self, data: bytes | memoryview) -> None:
        """Appends a chunk.

        Raises:
            BufferError: The queue would exceed its maximum size.
        """
        if self.length + len(data) > self.max_bytes:
            raise BufferError(
                f"output queue: {self.length + len(data)} bytes exceed the maximum of {self.max_bytes} bytes"
            )
        if len(data):
            if self.chunks is None:
                self.chunks = deque()
            self.chunks.append(memoryview(data))
            self.length += len(data)

    def clear(self) -> None:
        """Discards all chunks."""
        self.chunks = None
        self.length = 0

    def take(self, max_count: int) -> memoryview | bytes:
        """Removes and returns up to `max_count` bytes: part of one chunk, or several small chunks joined."""
        taken: list[memoryview] = []
        remaining = max_count
        while self.chunks and remaining:
            chunk = self.chunks.popleft()
            if len(chunk) > remaining:
                self.chunks.appendleft(chunk[remaining:])
                chunk = chunk[:remaining]
            taken.append(chunk)
            remaining -= len(chunk)
        self.length -= max_count - remaining
        if not self.chunks:
            self.chunks = None
        return taken[0] if len(taken) == 1 else b"".join(taken)

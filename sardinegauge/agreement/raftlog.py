"""The replicated log in memory, from its compaction point on."""


class Log:
    """Entries after `base_index`; the entry at the base itself is known by its term.

    Parameters
    ----------
    base_index, base_term : int
        Last compacted entry; 0 for a log that begins at index 1.
    entries : list of raftmessages.LogEntry
        Contiguous entries from ``base_index + 1``.
    """

    __slots__ = ("base_index", "base_term", "entries", "size_bytes")

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size_bytes = _size(self.entries)

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or None if it is compacted or missing."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index):
        """Return the entry at an index after the base."""
        return self.entries[index - self.base_index - 1]

    def batch(self, first, max_entries, max_bytes):
        """Return entries from `first` within both limits, at least one if any."""
        chosen = []
        size = 0
        start = first - self.base_index - 1
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.body)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries):
        """Add entries that follow the last one."""
        self.entries.extend(entries)
        self.size_bytes += _size(entries)

    def truncate_from(self, index):
        """Drop the entry at `index` and all later ones."""
        position = index - self.base_index - 1
        self.size_bytes -= _size(self.entries[position:])
        del self.entries[position:]

    def first_index_of_term_at(self, index):
        """Return the first index in the log with the term of the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact_to(self, index):
        """Forget the entries up to `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        self.size_bytes -= _size(self.entries[: index - self.base_index])
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index, term):
        """Forget all entries and continue after a snapshot."""
        self.base_index = index
        self.base_term = term
        self.entries = []
        self.size_bytes = 0

    def trailing_start(self, index, max_entries, max_bytes):
        """Return up to where to compact, to keep the last entries before `index`."""
        start = index
        size = 0
        while start > max(self.base_index, index - max_entries):
            size += len(self.entry(start).body)
            if size > max_bytes:
                break
            start -= 1
        return start


def _size(entries):
    return sum(len(entry.body) for entry in entries)

"""The replicated log in memory, without its compacted entries."""


class Log:
    """The entries after `base_index`; of the entry at the base, only the term is known.

    `size_bytes` is the total size of the entries' bodies.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last compacted entry; 0 for a log that begins at index 1.
    entries : list of raftmessages.LogEntry
        Contiguous entries from ``base_index + 1``.
    """

    __slots__ = ("base_index", "base_term", "entries", "size_bytes")

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size_bytes = _body_bytes(self.entries)

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
        """Return the entry at `index`, which must lie after the base."""
        return self.entries[index - self.base_index - 1]

    def batch(self, first, max_entries, max_bytes):
        """Return the entries from index `first` on within both limits.

        `max_bytes` limits the total size of their bodies, but a first entry that is
        larger is returned alone.
        """
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
        """Append entries that continue the log."""
        self.entries.extend(entries)
        self.size_bytes += _body_bytes(entries)

    def truncate_from(self, index):
        """Delete the entry at `index` and all later ones."""
        position = index - self.base_index - 1
        self.size_bytes -= _body_bytes(self.entries[position:])
        del self.entries[position:]

    def first_index_of_term_at(self, index):
        """Return the first index in the log with the term of the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact_to(self, index):
        """Delete the entries up to `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        self.size_bytes -= _body_bytes(self.entries[: index - self.base_index])
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index, term):
        """Delete all entries and continue after a snapshot at `index`."""
        self.base_index = index
        self.base_term = term
        self.entries = []
        self.size_bytes = 0

    def compaction_index(self, index, max_entries, max_bytes):
        """Return the index to compact to, so that the last entries to `index` remain.

        The entries that remain are at most `max_entries`, with bodies of at most
        `max_bytes` in total.
        """
        start = index
        size = 0
        while start > max(self.base_index, index - max_entries):
            size += len(self.entry(start).body)
            if size > max_bytes:
                break
            start -= 1
        return start


def _body_bytes(entries):
    return sum(len(entry.body) for entry in entries)

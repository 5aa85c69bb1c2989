"""The directory of upstreams as entries see it, with changes since a version."""

from sardinegauge.links import messages


def changes(machine, version):
    """Return what changed in the directory since a version.

    Parameters
    ----------
    machine : machine.Machine
        Only read.
    version : int
        The version that the entry holds, 0 for none.

    Returns
    -------
    new_version : int
        The version to hold from now on; it is 0 while no upstream ever registered.
    is_full : bool
        Whether the list replaces what the entry holds.
    upstreams : list of messages.Upstream
        The changed ones; a lost one has `removed` set.
    """
    workers = machine.workers
    # A version from the future can only come from a folder that was lost.
    is_full = not workers.floor_version <= version <= workers.version or not version
    changed = []
    for upstream in reversed(workers.changed_order):
        worker = workers.by_upstream[upstream]
        if not is_full and worker.changed_version <= version:
            break
        if not (is_full and worker.is_lost):
            changed.append(_to_message(machine, worker))
    return workers.version, is_full, changed


def served(machine, worker):
    """Return the sorted names of services that an upstream serves now.

    These are the services it always serves and those of its running tasks. A task that
    is evicting or retired serves callers until it stops, but gets no new ones.
    """
    names = set(worker.services)
    for id in worker.task_ids:
        task = machine.tasks.by_id[id]
        if task.service and task.state == "running":
            names.add(task.service)
    return sorted(names)


def _to_message(machine, worker):
    return messages.Upstream(
        upstream=worker.upstream,
        incarnation=worker.incarnation,
        address=worker.address,
        failure_domain=worker.failure_domain,
        rack=worker.rack,
        services=served(machine, worker),
        connections=worker.room.connections,
        draining=worker.is_draining,
        removed=worker.is_lost,
    )

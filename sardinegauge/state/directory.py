"""The directory of upstreams that entries use, with changes since a version."""

from sardinegauge.links import messages


def changes(machine, version):
    """Return what changed in the directory since a version.

    Parameters
    ----------
    machine : machine.Machine
        Not changed.
    version : int
        The version of the entry's directory, 0 for none.

    Returns
    -------
    new_version : int
        The current version; 0 if no upstream has ever registered.
    is_full : bool
        Whether the list replaces the entry's directory.
    upstreams : list of messages.Upstream
        The changed upstreams; those of lost workers have `removed` set.
    """
    workers = machine.workers
    # A version above the current one can only come from a data folder that was lost.
    is_full = not workers.floor_version <= version <= workers.version or not version
    changed = []
    for upstream in reversed(workers.changed_order):
        worker = workers.by_upstream[upstream]
        if not is_full and worker.changed_version <= version:
            break
        if not (is_full and worker.is_lost):
            changed.append(_to_message(machine, worker))
    return workers.version, is_full, changed


def active_services(machine, worker):
    """Return the sorted names of services that an upstream currently serves.

    These are its announced services and those of its running tasks. A task that is
    evicting or retired completes its requests until it stops, but gets no new ones.
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
        services=active_services(machine, worker),
        connections=worker.room.connections,
        draining=worker.is_draining,
        removed=worker.is_lost,
    )

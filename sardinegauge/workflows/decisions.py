"""Names of the decisions that choose a worker, and of what the log does with them."""

# Kinds of decision, as in logs and metrics.
PLAN = "plan"
ISOLATION = "isolation"
MOVE = "move"
DISPLACEMENT = "displacement"
RELIEF = "relief"
# A row that this leader did not propose itself.
UNKNOWN = "unknown"

# Why a worker may not take a task: it is not of the pool to which the queue is sent,
# lacks the required label, or has as many tasks of the step as it may have.
POOL = "pool"
LABEL = "label"
LIMIT = "limit"

# What the log did with a row of `commands.AssignRuns`: assigned it, or refused it.
ASSIGNED = "assigned"
# The task or the incarnation of the worker is gone, or a later run was assigned.
OUTDATED = "outdated"
# The queue changed after the decision, and perhaps its pool with it.
QUEUE_CHANGED = "queue_changed"

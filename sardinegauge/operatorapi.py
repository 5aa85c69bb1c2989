"""The operators' calls over HTTP."""


def routes(state_client, tokens, log):
    """Return the tornado routes of the operators' calls.

    Parameters
    ----------
    state_client : stateclient.StateClient
        Carries proposals and queries to the leader.
    tokens : dict of str to str
        Names of operators by their bearer tokens.
    log : structlog logger
        The application's logger.

    Returns
    -------
    list of tuple
        Pattern, handler class and its keyword arguments.
    """
    return []

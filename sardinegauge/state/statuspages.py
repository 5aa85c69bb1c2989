"""Health and metrics pages of the state process."""

import json

from tornado import web

from sardinegauge.state import replicasteps, statemetrics


def build_application(app):
    """Return the web application that serves the status pages of `stateapp`."""
    options = {"app": app}
    routes = [("/metrics", MetricsPage, options), ("/health", HealthPage, options)]
    return web.Application(routes, log_function=lambda handler: None)


class _Page(web.RequestHandler):
    def initialize(self, app):
        self.app = app


class MetricsPage(_Page):
    """The metrics in the Prometheus text format."""

    def get(self):
        """Respond with the metrics."""
        self.set_header("Content-Type", statemetrics.CONTENT_TYPE)
        self.write(self.app.metrics.page())


class HealthPage(_Page):
    """The replica's status as JSON; 503 while it knows no leader."""

    def get(self):
        """Respond with the status."""
        status = replicasteps.status(self.app.state)
        if not status["leader"]:
            self.set_status(503)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(status))

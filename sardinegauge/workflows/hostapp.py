"""Application of the agent that runs tasks of workflows on the worker on its VM."""

import asyncio
import json

from sardinegauge import application, background, clock, outcome
from sardinegauge.links import messages, stateclient
from sardinegauge.workflows import (
    adviceclient,
    flowmetrics,
    hostedreport,
    hostevents,
    hosting,
    hoststate,
    workerclient,
)

TICK_S = 0.1
# Delay before a report, so that simultaneous changes share one.
REPORT_DELAY_S = 0.003
REPORT_TIMEOUT_S = 1.5
# Changes during these reports wait for one of them to end, so that a slow leader gets
# fewer reports instead of more. A second one goes past a report that waits for a lease.
MAX_REPORTS_IN_FLIGHT = 2
CALL_TIMEOUT_S = 0.3


class HostApplication(application.Application):
    """One agent.

    Parameters
    ----------
    name : str
        Name of the VM.
    replicas : list of str
        Addresses of the first replicas to contact; others are learnt from the leader.
    worker_client : workerclient.WorkerClient
        Client of the worker's protocol.
    metrics_listen : str
        Address of the metrics page, empty for none.
    advice : adviceclient.AdviceClient or None
        Client of the policy service, None for deployments without one.
    """

    drain_limit_s = 1.0

    def __init__(self, name, replicas, worker_client, metrics_listen="", advice=None):
        super().__init__(name)
        self.state = hoststate.State(name, clock.wall_ms())
        self.worker_client = worker_client
        self.advice = advice or adviceclient.NoService()
        hello = messages.Hello(role="agent", name=name)
        self.client = stateclient.StateClient(replicas, hello, self._on_push)
        self.metrics = flowmetrics.HostMetrics()
        self.metrics_listen = metrics_listen
        self._metrics_server = None
        self._is_report_due = False
        self._is_report_deferred = False
        self._reports_in_flight = 0
        self._sequence = 0

    async def on_start(self):
        """Connect to the replicas and start to report."""
        self.client.start()
        if self.metrics_listen:
            self._metrics_server = flowmetrics.serve(self.metrics_listen, self._page)
        self.every(
            TICK_S, lambda now_ms: self._dispatch(hostevents.Tick(now_ms=now_ms))
        )

    def _page(self):
        self.metrics.update(self.state)
        return self.metrics.metrics.page()

    async def on_stop(self):
        """Close all connections; active runs continue until their leases end."""
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self.client.stop()
        self.worker_client.close()
        self.advice.close()

    def on_worker_announced(self, announcement):
        """Process a `workerclient.Announcement` of the worker."""
        last_announcement = self.state.announcement
        is_new_incarnation = (
            last_announcement is None
            or last_announcement.incarnation != announcement.incarnation
        )
        self._dispatch(
            hostevents.WorkerAnnounced(
                now_ms=clock.monotonic_ms(), announcement=announcement
            )
        )
        if (
            is_new_incarnation
            or announcement.is_draining != last_announcement.is_draining
        ):
            self.log.info(
                "worker_announced",
                worker=announcement.worker,
                life=announcement.incarnation,
                draining=announcement.is_draining,
            )

    def on_worker_left(self, worker):
        """Record that the worker with this id is shutting down."""
        self.log.info("worker_left", worker=worker)
        self._dispatch(
            hostevents.WorkerLeft(now_ms=clock.monotonic_ms(), worker=worker)
        )

    def _dispatch(self, event):
        for effect in hosting.reduce(self.state, event):
            if isinstance(effect, hostevents.SendReport):
                self._schedule_report()
            elif isinstance(effect, hostevents.AskAdvice):
                background.spawn(self._ask_advice(effect))
            else:
                background.spawn(self._call(effect))

    async def _call(self, effect):
        request = effect.request
        wait_ms = getattr(request, "wait_ms", 0)
        kind = type(request).__name__
        begun_ms = clock.monotonic_ms()
        try:
            answer = await self.worker_client.call(
                effect.announcement, request, CALL_TIMEOUT_S + wait_ms / 1000
            )
        except workerclient.NoAnswerError as error:
            self.log.info(
                "worker_call_unanswered",
                call=kind,
                task=getattr(request, "task", ""),
                run=getattr(request, "run", 0),
                error=str(error),
            )
            event = hostevents.CallUnanswered(
                now_ms=clock.monotonic_ms(), call=effect, is_down=error.is_down
            )
            end = "down" if error.is_down else "unanswered"
        except Exception:
            # A call that never ends would keep its slot and its run for good.
            self.log.exception("worker_call_failed", call=kind)
            event = hostevents.CallUnanswered(
                now_ms=clock.monotonic_ms(), call=effect, is_down=False
            )
            end = "failed"
        else:
            if answer.kind != workerclient.DONE:
                self.log.info(
                    "worker_call_refused",
                    call=kind,
                    task=getattr(request, "task", ""),
                    run=getattr(request, "run", 0),
                    reason=answer.reason or answer.kind,
                )
            event = hostevents.CallAnswered(
                now_ms=clock.monotonic_ms(), call=effect, answer=answer
            )
            end = answer.reason or answer.kind
        seconds = (clock.monotonic_ms() - begun_ms) / 1000
        self.metrics.count(kind, end, seconds)
        self._dispatch(event)

    async def _ask_advice(self, effect):
        begun_ms = clock.monotonic_ms()
        tickets, valid_ms, reason = None, None, ""
        end = "done"
        try:
            answer = await self.advice.ask(
                effect.step, effect.workers, effect.limit_ms / 1000
            )
            tickets, valid_ms = answer.tickets, answer.valid_ms
        except adviceclient.NoAdviceError as error:
            end = "unanswered"
            reason = str(error)
            self.log.info(
                "advice_unanswered",
                step=effect.step,
                limit_ms=effect.limit_ms,
                error=reason,
            )
        except Exception as error:
            # A call that never ends would keep the agent from asking for good.
            end = "failed"
            reason = repr(error)
            self.log.exception("advice_failed", step=effect.step)
        seconds = (clock.monotonic_ms() - begun_ms) / 1000
        self.metrics.count("AskAdvice", end, seconds)
        self._dispatch(
            hostevents.AdviceReceived(
                now_ms=clock.monotonic_ms(),
                step=effect.step,
                workers=effect.workers,
                tickets=tickets,
                valid_ms=valid_ms,
                reason=reason,
            )
        )

    def _schedule_report(self):
        if self._is_report_due:
            return
        self._is_report_due = True
        asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._send_report)

    def _send_report(self):
        self._is_report_due = False
        if self._reports_in_flight >= MAX_REPORTS_IN_FLIGHT:
            self._is_report_deferred = True
            return
        self._reports_in_flight += 1
        background.spawn(self._report())

    async def _report(self):
        try:
            answer = await self.client.report(self._build_report, REPORT_TIMEOUT_S)
        finally:
            self._reports_in_flight -= 1
            if self._is_report_deferred:
                self._is_report_deferred = False
                self._schedule_report()
        if isinstance(answer, outcome.Answered):
            self._apply_orders(answer.value)

    def _build_report(self):
        """Return a report of the current state, also for a repeated attempt."""
        self._sequence += 1
        announcement = self.state.announcement
        fields = hostedreport.report_fields(self.state)
        return messages.WorkerReport(
            agent=self.state.agent,
            worker=announcement.worker if announcement is not None else "",
            life=self.state.incarnation,
            sequence=self._sequence,
            sent_ms=clock.monotonic_ms(),
            body=json.dumps(fields, separators=(",", ":")).encode(),
            is_lease_wanted=self.state.is_lease_wanted,
        )

    def _on_push(self, message):
        if isinstance(message, messages.WorkerOrders):
            self._apply_orders(message)

    def _apply_orders(self, message):
        self.client.update_members(message.replicas)
        if not message.worker or not message.body:
            return
        body = json.loads(message.body)
        self._dispatch(
            hostevents.OrdersReceived(
                now_ms=clock.monotonic_ms(), message=message, body=body
            )
        )

"""One gateway on the platform: wires the components together, serves, and handles SIGHUP and SIGTERM."""

from cobaltpond.edge.config import Config, ConfigError, read_config
from cobaltpond.edge.discovery import Discovery
from cobaltpond.edge.forwards import Forwards, handshake
from cobaltpond.edge.frontend import Frontend
from cobaltpond.edge.memory_plan import REQUESTS_SHARE, MemoryPlan, plan_memory
from cobaltpond.edge.platform import PlatformDesk
from cobaltpond.edge.sent_ids import SentIds
from cobaltpond.gateway.decision_host import GatewayDecisionHost
from cobaltpond.gateway.endpoints import EndpointPool
from cobaltpond.gateway.memory_budget import MemoryBudget
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, open_when_possible, run_component

# how long the listener waits for the first instance list
FIRST_LIST_TIMEOUT_US = 500_000
# how long new connections are accepted after SIGTERM
LINGER_TIME_US = 500_000
# SIGKILL comes no sooner than 0.7 s after the longest client timeout, or after this where one is longer
MAX_TIMEOUT_AT_STOP_US = 3_000_000
# all responses are sent within this part of those 0.7 s
ANSWER_MARGIN_US = 400_000
# how long the process then waits for clients that read slowly
FLUSH_TIME_US = 200_000
LISTEN_BACKLOG = 512
# how often a line of figures is logged
FIGURES_INTERVAL_US = 5_000_000
# how long an unreadable file is read again after SIGHUP; the new addresses count as known 4 s after it
RELOAD_RETRY_TIME_US = 2_000_000


class Edge:
    """All components of one gateway, and the main task that runs them."""

    def __init__(self, loop: Loop, path: str, config: Config, log):
        self.loop, self.path, self.config, self.log = loop, path, config, log
        self.plan = self.plan_memory()
        settings = {**config.policy_settings, "most_kept_keys": self.plan.max_kept_keys}
        self.budget = MemoryBudget(loop, self.plan.pool, self.plan.requests)
        self.endpoints = EndpointPool(loop, config.instances, handshake, self.instance_connection_limit)
        self.forwards = Forwards(loop, self.endpoints, self.is_current, self.budget)
        self.host = GatewayDecisionHost(
            loop,
            settings,
            config.seed & 0xFFFFFF,
            4 * config.sockets,
            settings["answer_slack"],
            self.endpoints,
            self.forwards,
            log,
        )
        self.discovery = self.host.instance_source = Discovery(
            loop,
            self.host,
            config.discovery,
            log,
            settings.get("list_by") == "asking",
            self.plan.list_limits,
        )
        self.discovery.on_applied = self.resize_budget
        self.platform = self.host.desk_client = PlatformDesk(
            loop, self.host, config.desk, settings.get("vote_wait", 1_000_000), settings["dial_time_out"], log
        )
        self.frontend = Frontend(
            loop,
            self.host,
            settings,
            self.client_connection_limit,
            self.plan.max_clients,
            log,
            self.budget,
            SentIds(self.plan.sent_id_slots, loop.kernel.random_seed()),
        )
        self.stop_requested, self.stop_requested_at, self.max_timer_lag, self.reload_count = False, 0, 0, 0
        loop.on_timer_lag = self.record_timer_lag

    def plan_memory(self) -> MemoryPlan:
        """Plans the memory by what the process uses now."""
        return plan_memory(
            self.config.memory_mb, self.loop.kernel.memory_used(), self.config.client_connection_limit
        )

    def resize_budget(self) -> None:
        """Takes what the listed instances need from the memory for large messages."""
        pool = self.plan.pool_beside(len(self.endpoints.by_id))
        self.budget.resize(pool, int(pool * REQUESTS_SHARE))

    def client_connection_limit(self) -> int:
        """Returns the current maximum of client connections.

        Clients and instances share the file descriptors, each up to its part; see
        `instance_connection_limit`.
        """
        return min(self.plan.max_clients, self.config.connection_limit - self.endpoints.open_count)

    def instance_connection_limit(self) -> int:
        """Returns the current maximum of connections to instances."""
        return min(
            self.config.instance_connection_limit, self.config.connection_limit - len(self.frontend.clients)
        )

    def record_timer_lag(self, lag: int) -> None:
        """Records how late a timer fired, in microseconds."""
        self.max_timer_lag = max(self.max_timer_lag, lag)

    def is_current(self, endpoint, since: int) -> bool:
        """Returns whether the state on which a decision at `since` was based still holds.

        The instance must be listed (another start or build is another endpoint) and up, and its build's
        exposure cap must not have fallen since.
        """
        row = endpoint.row
        is_listed = self.endpoints.by_id.get(row["id"]) is endpoint and row["state"] == "up"
        return is_listed and self.platform.cap_lowered_at.get(row["build"], -1) < since

    def run(self):
        """Runs the main task: serves until a signal, then drains."""
        loop, config = self.loop, self.config
        self.host.start_decisions(seed=config.seed)
        self.discovery.restore(config.known_list)
        self.platform.restore(config.release_state)
        self.discovery.start(config.discovery)
        self.platform.start(config.desk)
        loop.spawn(self.endpoints.sweep(), "sweep")
        loop.spawn(self.log_stats(), "say")
        if config.peer_listen and config.policy_settings.get("may_tell") and config.peers:
            loop.spawn(self.follow_peers(), "peers")
        end = loop.now() + FIRST_LIST_TIMEOUT_US
        while loop.now() < end and not self.discovery.has_received and not self.stop_requested:
            yield Sleep(2_000)
        if self.stop_requested:  # no client has connected, so there is nothing to drain
            self.log.info("stopped before the listener was open")
            return
        loop.kernel.freeze_memory()  # done before the listener opens, because it takes a while
        listener = yield from open_when_possible(
            lambda: loop.kernel.listen(config.listen, LISTEN_BACKLOG), self.log_retry
        )
        self.frontend.start_accepting(listener)
        self.log.info(
            "door open",
            list=self.discovery.has_received,
            memory_mb=config.memory_mb,
            cores=config.cores,
            sockets=config.sockets,
        )
        while not self.stop_requested:
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        longest_timeout = max(group["client_timeout"] for group in config.policy_settings["path_groups"])
        yield from self.frontend.drain(
            LINGER_TIME_US,
            min(longest_timeout, MAX_TIMEOUT_AT_STOP_US) + ANSWER_MARGIN_US - LINGER_TIME_US,
            FLUSH_TIME_US,
            self.stop_requested_at,
        )
        self.log.info("stopped", open=self.host.open_hits, **self.frontend.counts)

    def log_retry(self, error) -> None:
        """Logs that a socket could not be opened for the moment."""
        self.log.warning("socket not opened; retrying", why=str(error))

    def follow_peers(self):
        """Opens the socket to the other gateways and receives their messages. Runs until cancelled."""
        config = self.config
        self.host.peers = yield from open_when_possible(
            lambda: Peers(
                self.loop,
                dict(enumerate(config.peers)),
                config.peer_listen,
                config.policy_settings["number"],
                self.host,
                config.peers_all,
            ),
            self.log_retry,
        )
        yield from self.host.peers.listen()

    def stop(self, name: str = "") -> None:
        """Handles a signal: HUP reloads the configuration, any other one stops the gateway."""
        if name == "HUP":
            self.reload_count += 1
            self.loop.spawn(self.reload(self.reload_count), "reload")
        elif not self.stop_requested:
            # The time of the last poll: the signal came no earlier, so a loop that lags doesn't end too late.
            self.stop_requested, self.stop_requested_at = True, self.loop.polled_at

    def reload(self, number: int):
        """Applies the list's and the desk's addresses from the file; other settings need a restart.

        The file may be partly written when the signal comes, so an unreadable file is read again for a while,
        unless a later signal starts another reload.
        """
        end, retry_delay = self.loop.now() + RELOAD_RETRY_TIME_US, 20_000
        while number == self.reload_count:
            try:
                config = read_config(self.loop.kernel, self.path)
            except ConfigError as error:
                if self.loop.now() >= end:
                    self.log.error("configuration kept as it was", why=str(error))
                    return
                yield Sleep(retry_delay)
                retry_delay = min(2 * retry_delay, 200_000)
                continue
            self.log.info("reloaded", discovery=config.discovery, desk=config.desk)
            for source, address in ((self.discovery, config.discovery), (self.platform, config.desk)):
                if address != source.address:
                    source.start(address)
            return

    def log_stats(self):
        """Logs the counters at an interval. Runs until cancelled."""
        while True:
            yield Sleep(FIGURES_INTERVAL_US)
            lag, self.max_timer_lag = self.max_timer_lag, 0
            self.log.info(
                "figures",
                late_us=lag,
                longest_turn_us=self.loop.take_longest_turn(),
                memory_bytes=self.loop.kernel.memory_used(),
                client_bytes=self.frontend.held_bytes(),
                reserved_bytes=self.budget.used,
                most_reserved_bytes=self.budget.peak,
                clients=len(self.frontend.clients),
                open=self.host.open_hits,
                hits=len(self.host.pending_hits),
                held=self.endpoints.open_count,
                tasks=len(self.loop.tasks),
                timers=len(self.loop.timers.heap),
                peers=self.host.peers and self.host.peers.counts,
                host=self.host.counts,
                discovery=self.discovery.counts,
                **self.frontend.counts,
                refusals=self.frontend.refusals,
                given_up=self.host.decisions.given_up,
                admitted=round(self.host.decisions.admitted_share, 2),
                endings={k: v for k, v in self.forwards.result_counts.items() if v},
                surplus_idle=self.endpoints.surplus_closes,
                surplus_skipped=self.forwards.surplus_responses,
            )


def run_edge(kernel, path: str, config: Config, log) -> None:
    """Runs a gateway until a signal stops it."""
    run_component(kernel, lambda loop: Edge(loop, path, config, log), log, "gateway")

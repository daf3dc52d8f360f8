"""One gateway on the platform: puts the parts together, serves from the start, follows HUP and TERM."""

from cobaltpond.edge.config import Config, ConfigError, read_config
from cobaltpond.edge.discovery import Discovery
from cobaltpond.edge.forwards import Forwards, handshake
from cobaltpond.edge.frontend import Frontend
from cobaltpond.edge.platform import PlatformDesk
from cobaltpond.gateway.decision_host import GatewayDecisionHost
from cobaltpond.gateway.endpoints import EndpointPool
from cobaltpond.gateway.peers import Peers
from cobaltpond.loop import Loop, Sleep, run_component

FIRST_LIST = 500_000  # how long the door waits for a first list
LINGER = 500_000  # new connections may come so long after TERM
LONGEST = 3_000_000  # KILL comes no sooner after TERM than this and 0.7 s, where a
# client timeout is longer; else than the longest of them
ANSWERED = 400_000  # of those 0.7 s: all answers are out by then, and
FLUSH = 200_000  # so long those are waited for who read slowly
BACKLOG = 512
SAY = 5_000_000  # a line of figures so often
READ_AGAIN = 2_000_000  # how long after HUP; what is told there counts 4 s after it


class Edge:
    def __init__(self, loop: Loop, path: str, config: Config, log):
        self.loop, self.path, self.config, self.log = loop, path, config, log
        sheet = config.policy_settings
        self.endpoints = EndpointPool(loop, config.instances, handshake, self.instance_connection_limit)
        self.forwards = Forwards(loop, self.endpoints, self.is_current)
        self.host = GatewayDecisionHost(
            loop,
            sheet,
            config.seed & 0xFFFFFF,
            4 * config.sockets,
            sheet["answer_slack"],
            self.endpoints,
            self.forwards,
            log,
        )
        self.discovery = self.host.instance_source = Discovery(
            loop, self.host, config.discovery, log, sheet.get("list_by") == "asking"
        )
        self.platform = self.host.desk_client = PlatformDesk(
            loop, self.host, config.desk, sheet.get("vote_wait", 1_000_000), sheet["dial_time_out"], log
        )
        if config.peer_listen and sheet.get("may_tell") and config.peers:
            self.host.peers = Peers(
                loop,
                dict(enumerate(config.peers)),
                config.peer_listen,
                sheet["number"],
                self.host,
                config.peers_all,
            )
        self.frontend = Frontend(
            loop, self.host, sheet, self.client_connection_limit, config.client_connection_limit, log
        )
        self.stop_asked, self.stop_at, self.late, self.reloads = False, 0, 0, 0
        loop.on_timer_lag = self.record_timer_lag

    def client_connection_limit(self) -> int:
        """Clients and instances share the descriptors, each up to a part; so does
        `instance_connection_limit`."""
        return min(
            self.config.client_connection_limit, self.config.connection_limit - self.endpoints.open_count
        )

    def instance_connection_limit(self) -> int:
        return min(
            self.config.instance_connection_limit, self.config.connection_limit - len(self.frontend.clients)
        )

    def record_timer_lag(self, late: int) -> None:
        self.late = max(self.late, late)

    def is_current(self, place, since: int) -> bool:
        """Does what a decision at `since` was built on hold: the instance (another start or build is another
        place), and no lower cap?"""
        row = place.row
        listed = self.endpoints.by_id.get(row["id"]) is place and row["state"] == "up"
        return listed and self.platform.lowered.get(row["build"], -1) < since

    def run(self):
        """The main task."""
        loop, config = self.loop, self.config
        self.host.start_decisions(seed=config.seed)
        self.discovery.restore(config.known)
        self.platform.restore(config.news)
        self.discovery.start(config.discovery)
        self.platform.start(config.desk)
        loop.spawn(self.endpoints.sweep(), "sweep")
        loop.spawn(self.log_figures(), "say")
        if self.host.peers:
            loop.spawn(self.host.peers.listen(), "peers")
        end = loop.now() + FIRST_LIST
        while loop.now() < end and not self.discovery.has_heard and not self.stop_asked:
            yield Sleep(2_000)
        if self.stop_asked:  # nobody was let in, and nothing is owed
            self.log.info("stopped before the door was open")
            return
        loop.kernel.freeze_memory()  # before the door opens: it takes a while
        self.frontend.start_accepting(loop.kernel.listen(config.listen, BACKLOG))
        self.log.info(
            "door open",
            list=self.discovery.has_heard,
            memory_mb=config.memory_mb,
            cores=config.cores,
            sockets=config.sockets,
        )
        while not self.stop_asked:
            yield Sleep(20_000)
        self.log.info("stopping", open=self.host.open_hits)
        longest = max(group["client_timeout"] for group in config.policy_settings["path_groups"])
        yield from self.frontend.drain(LINGER, min(longest, LONGEST) + ANSWERED - LINGER, FLUSH, self.stop_at)
        self.log.info("stopped", open=self.host.open_hits, **self.frontend.counts)

    def stop(self, name: str = "") -> None:
        """A signal."""
        if name == "HUP":
            self.reloads += 1
            self.loop.spawn(self.reload(self.reloads), "reload")
        elif not self.stop_asked:
            # the time of the turn before: it came no sooner, so that a loop that lags does not end too late
            self.stop_asked, self.stop_at = True, self.loop.polled_at

    def reload(self, number: int):
        """The addresses of list and desk as the file has them now. The rest of a configuration takes a
        restart. Guards against a file that is only half there yet: it is read again for a while, unless a
        later signal does."""
        end, wait = self.loop.now() + READ_AGAIN, 20_000
        while number == self.reloads:
            try:
                config = read_config(self.loop.kernel, self.path)
            except ConfigError as trouble:
                if self.loop.now() >= end:
                    self.log.error("configuration kept as it was", why=str(trouble))
                    return
                yield Sleep(wait)
                wait = min(2 * wait, 200_000)
                continue
            self.log.info("reloaded", discovery=config.discovery, desk=config.desk)
            for followed, address in ((self.discovery, config.discovery), (self.platform, config.desk)):
                if address != followed.address:
                    followed.start(address)
            return

    def log_figures(self):
        while True:
            yield Sleep(SAY)
            late, self.late = self.late, 0
            self.log.info(
                "figures",
                late_us=late,
                clients=len(self.frontend.clients),
                open=self.host.open_hits,
                hits=len(self.host.hits),
                held=self.endpoints.open_count,
                tasks=len(self.loop.tasks),
                timers=len(self.loop.timers.heap),
                peers=self.host.peers and self.host.peers.counts,
                host=self.host.counts,
                **self.frontend.counts,
                given_up=self.host.decisions.given_up,
                admitted=round(self.host.decisions.admitted, 2),
                endings={k: v for k, v in self.forwards.observations.items() if v},
            )


def run_edge(kernel, path: str, config: Config, log) -> None:
    """Until a signal to stop."""
    run_component(kernel, lambda loop: Edge(loop, path, config, log), log, "gateway")

# The scripted bad day: a bad build and a good one, a machine that vanishes, a zone cut off, a desk that stands
# still, a gateway killed and started again, a burst. Three gateways, twelve instances, two zones.
day(length = s(40), rate = 70.0, seed = 1)
fleet(instances = 12, zones = ["north", "south"], cores = 2)
registry(notice = ms(700), spread = ms(200), silent = s(5))

path_group(name = "look", kind = "repeatable", target_latency = ms(900), client_timeout = ms(2500))
path_group(name = "hold", kind = "tagged", scope = "all", repeat_window = s(3), target_latency = ms(1000),
           client_timeout = ms(2500), benefit = 3.0)
path_group(name = "pay", kind = "mutating", target_latency = ms(1000), client_timeout = s(3), benefit = 2.0)
traffic(group = "look", share = 0.55, work = ms(110))
traffic(group = "hold", share = 0.25, work = ms(130), method = "POST")
traffic(group = "pay", share = 0.2, work = ms(120), method = "POST")
for name, share in [("emajoe-hall", 0.4), ("vaksali-fest", 0.35), ("toomemae-club", 0.25)]:
    customer(name = name, share = share)
clients(retries = 2, try_share = 0.7, backoff = ms(120))

release(gate = "count", layout = "beside", shares = [0.17, 0.5, 1.0], caps = [0.3, 0.8, 1.0],
        exposure_window = s(2), exposure_free = 2.0, on_votes = 2, back_votes = 1, vote_life = s(6),
        vote_wait = ms(1000), dwell = ms(1500), delay_price = 0.35, harm_price = 3.0, news_period = s(2))
rules(drain_grace = ms(250), cold_time = s(4), cold_share = 0.35, overload_factor = 2.0, tip_time = ms(1500))
allow(most_forwards = 3, probe = True, tell = True)
reports(how = "answers", names = ["util", "inflight", "latency_ms"])
prices(crossing = 0.04, probe = 0.01, tell = 0.05, waste = 0.03)
gateway(zone = "north", weight = 1.0)
gateway(zone = "north", weight = 0.8)
gateway(zone = "south", weight = 1.2)

offer(at = s(3), flaw = "errors", strength = 0.8)
offer(at = s(15))
trouble(kind = "vanish", at = s(7), length = s(9), on = [3])
kill(gateway = 1, at = s(12), back_after = s(2))
trouble(kind = "control_down", at = s(18), length = s(4), how = "silence")
trouble(kind = "burst", at = s(24), length = s(4), size = 1.6)
trouble(kind = "zone_cut", at = s(30), length = s(4), which = 1)

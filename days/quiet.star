# A quiet day: one good build goes out, nothing goes wrong.
day(length = s(25), rate = 60.0, seed = 2)
fleet(instances = 12, zones = ["north", "south"], cores = 2)
registry(notice = ms(700), spread = ms(200))
path_group(name = "look", kind = "repeatable", target_latency = ms(900), client_timeout = ms(2500))
path_group(name = "hold", kind = "tagged", scope = "all", repeat_window = s(3), target_latency = ms(1000),
           client_timeout = ms(2500), benefit = 3.0)
traffic(group = "look", share = 0.7, work = ms(110))
traffic(group = "hold", share = 0.3, work = ms(130), method = "POST")
customer(name = "emajoe-hall", share = 0.6)
customer(name = "vaksali-fest", share = 0.4)
release(gate = "clock", layout = "in place", shares = [0.17, 0.5, 1.0], caps = [0.3, 0.8, 1.0],
        exposure_window = s(2), exposure_free = 2.0, vote_life = s(6), vote_wait = ms(1000), dwell = ms(1500),
        step = s(3), delay_price = 0.35, harm_price = 3.0, news_period = s(2))
rules(drain_grace = ms(250), cold_time = s(4), cold_share = 0.35, overload_factor = 2.0, tip_time = ms(1500))
allow(most_forwards = 3, probe = True, tell = True)
reports(how = "answers", names = ["util", "inflight", "latency_ms"])
prices(crossing = 0.04, probe = 0.01)
gateway(zone = "north")
gateway(zone = "north")
gateway(zone = "south")
offer(at = s(3))

# A ticket resale deployment on one machine: three gateways in two zones.
path_group(name = "listing-read", kind = "repeatable", target_latency = ms(1000), client_timeout = ms(2500))
path_group(name = "resale-buy", kind = "tagged", scope = "all", repeat_window = s(3),
           target_latency = ms(1200), client_timeout = s(5), benefit = 5.0)
path_group(name = "transfer", kind = "mutating", target_latency = ms(1000), client_timeout = ms(2500), benefit = 2.0)

route(method = "GET", path = "/listings*", group = "listing-read")
route(method = "POST", path = "/purchases", group = "resale-buy")
route(method = "POST", path = "/transfers", group = "transfer")

for name, share in [("emajoe-hall", 0.4), ("vaksali-fest", 0.35), ("toomemae-club", 0.25)]:
    customer(name = name, share = share)

release(gate = "count", layout = "beside", shares = [0.1, 0.4, 1.0], caps = [0.2, 0.7, 1.0],
        exposure_window = s(2), exposure_free = 2.0, on_votes = 2, back_votes = 1,
        vote_life = s(10), vote_wait = ms(1200), dwell = s(2), delay_price = 0.35, harm_price = 3.0)
rules(drain_grace = ms(250), cold_time = ms(4400), cold_share = 0.33, overload_factor = 2.0, tip_time = ms(1500))
allow(most_forwards = 3, probe = True, tell = True)
reports(how = "answers", names = ["util", "inflight", "latency_ms"])
prices(crossing = 0.04, probe = 0.01, tell = 0.05, waste = 0.03)
listing(address = "127.0.0.1:17100")
desk(address = "127.0.0.1:17200", platform = "127.0.0.1:17300")
for n in range(3):
    gateway(number = n, zone = "tallinn-dc" if n < 2 else "tartu-dc", door = "127.0.0.1:%d" % (17000 + n),
            peers = "127.0.0.1:%d" % (17050 + n))

"""Bounds of what the decisions remember of builds and keys under ever new ones."""

from helpers import MS, OLD_ROWS, GatewayDriver, row

from cobaltpond.decisions.voting import MAX_BUILDS

FIRST_NEW_BUILD = 1000


def test_ever_new_builds_in_news_are_forgotten():
    """Guards against memory, and work for each build, that grow with what a feed names."""
    driver = GatewayDriver(OLD_ROWS)
    listed = {instance.build.number for instance in driver.gateway.fleet.by_id.values()}
    for number in range(5 * MAX_BUILDS):
        driver.news(FIRST_NEW_BUILD + number, 0, "released", 1.0)
        assert driver.gateway.newest.number == FIRST_NEW_BUILD + number
    builds = driver.gateway.fleet.builds
    assert len(builds) <= MAX_BUILDS + len(listed) + 1 and listed <= set(builds)
    assert driver.gateway.newest.earlier is builds[driver.gateway.newest.earlier.number]
    driver.hit()
    driver.run(100 * MS)
    assert driver.host.calls_named("send_forward")


def test_ever_new_builds_in_lists_are_forgotten():
    """Guards against the same from discovery: one instance whose build changes with each list."""
    driver = GatewayDriver(OLD_ROWS)
    for number in range(5 * MAX_BUILDS):
        driver.gateway.on_list(driver.host.now, False, [row("new", build=FIRST_NEW_BUILD + number)])
    assert len(driver.gateway.fleet.builds) <= MAX_BUILDS + 3
    assert driver.gateway.fleet.by_id["new"].build.number == FIRST_NEW_BUILD + 5 * MAX_BUILDS - 1


def test_ever_new_keys_are_forgotten_beyond_the_limit():
    """Guards against keys that are remembered without end where keys stay."""
    driver = GatewayDriver(OLD_ROWS, keys_stay=True, most_kept_keys=10)
    build = next(iter(driver.gateway.fleet.builds.values()))
    for key in range(50):
        driver.gateway.keep_key(key, build)
    assert list(driver.gateway.kept_keys) == list(range(40, 50))

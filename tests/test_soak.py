"""Signals and crowds against real gateway processes, drawn from a seed: see `bench/crowd/soak.py`."""

from bench.crowd.soak import play_seeds

SEEDS = range(1, 9)
PLAYS_AT_ONCE = 2


# Guards against processes that end, exceed their memory, or lose, repeat or send on requests under signals in
# series and crowds.
def test_seeded_plays_of_signals_and_crowds_break_no_rule():
    results = list(play_seeds(SEEDS, PLAYS_AT_ONCE))
    assert {result.seed: result.breaks for result in results if result.breaks} == {}
    assert all(result.outcomes["served"] > 500 for result in results)

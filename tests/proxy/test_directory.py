"""The addresses of proxies that clients get."""

from thistleusher.proxy.directory import addresses


def test_clients_are_directed_to_proxies_of_their_region_that_are_up():
    members = {
        n: {"front": f"{n}:1", "region": r, "zone": "z", "up": up}
        for n, r, up in (("a", "k", True), ("b", "k", False), ("c", "l", True), ("d", "k", True))
    }
    assert addresses(members, set(), "k", "z") == ["a:1", "d:1"]
    assert addresses(members, {"a"}, "k", "z") == ["d:1"]
    assert addresses(members, {"a", "d"}, "k", "z") == ["c:1"]  # no proxy of the region is up
    assert len(addresses({"b": members["b"]}, set(), "k", "z")) == 1  # a stale list is better than none

"""The look-up tables of a configuration: routes by host and path, tenants by key."""

from tests.configuration.documents import body
from thistleusher.configuration.index import Index
from thistleusher.configuration.validation import read_configuration


def test_the_longest_prefix_wins_among_a_hundred_routes_of_one_host():
    def many(table):
        for n in range(100):
            prefix = "/" + "/".join(f"p{k}" for k in range(n % 10)) + ("/" if n % 10 else "") + f"q{n}/"
            table["routes"][f"m{n}"] = {**table["routes"]["r2"], "path_prefix": prefix}
        table["routes"]["root"] = {**table["routes"]["r2"], "path_prefix": "/"}

    config = read_configuration(body(many))
    index = Index(config)

    def slow(path):
        fit = [(len(r.path_prefix), n) for n, r in config.routes.items() if path.startswith(r.path_prefix)]
        return max(fit)[1]

    for n, route in config.routes.items():
        assert index.find("a.example", route.path_prefix + "leaf").name == slow(route.path_prefix + "leaf") == n
    assert index.find("A.Example:8080", "/x/y/z").name == "r2"
    assert index.find("a.example", "/x/yy").name == "r1"
    assert index.find("a.example", "/nothing").name == "root"
    assert index.find("b.example", "/x/") is None


def test_keys_belong_to_tenants_and_go_with_them():
    index = Index(read_configuration(body()))
    assert index.tenant_of("Token k2") == "t1" and index.tenant_of("token  k3") == "t2"
    assert index.tenant_of("Bearer k2") is None and index.tenant_of("") is None and index.tenant_of("Token ") is None
    after = Index(read_configuration(body(lambda t: t["tenants"]["t1"].update(api_keys=["k1"]))))
    assert after.tenant_of("Token k2") is None

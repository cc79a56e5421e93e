"""Selection of ports for processes that start shortly afterwards."""

import socket

from standins import ports


def test_ports_are_unused_below_the_range_of_connections_and_each_is_another():
    drawn = [ports.unused_port() for _ in range(50)]
    assert len(set(drawn)) == 50
    assert all(ports.FIRST_PORT <= port < ports.FIRST_PORT + ports.PORT_COUNT for port in drawn)
    for port in drawn:
        with socket.socket() as listener:
            listener.bind((ports.HOST, port))


def test_a_port_that_is_in_use_is_passed_over(monkeypatch):
    first = ports.unused_port()
    monkeypatch.setattr(ports, "_offsets", iter(range(first - ports.FIRST_PORT, first - ports.FIRST_PORT + 2)))
    with socket.socket() as listener:
        listener.bind((ports.HOST, first))
        assert ports.unused_port() == first + 1

"""Scale run: hollow proxies beside real core processes, and what their slopes give at the target size."""

"""How fast a figure grows."""

import math


def slope(pairs):
    """The exponent of a power law through the points, by least squares."""
    points = [(math.log(x), math.log(y)) for x, y in pairs if y > 0]
    if len({x for x, _ in points}) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    return over / under

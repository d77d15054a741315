"""Growth exponents."""

import math


def slope(pairs):
    """Returns the exponent of the power law fitted to the points by least
    squares, or None if they have fewer than two different counts."""
    points = [(math.log(x), math.log(y)) for x, y in pairs if y > 0]
    if len({x for x, _ in points}) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance

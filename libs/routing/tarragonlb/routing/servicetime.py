"""Measured service times: how long requests of each service hold a slot."""

INITIAL_SECONDS = 0.1
SMOOTHING = 0.1


class ServiceTimes:
    """Exponentially smoothed service times.

    A service without a measurement gets the mean of all services.
    """

    __slots__ = ('_mean', '_services')

    def __init__(self) -> None:
        """Start without measurements."""
        self._mean = INITIAL_SECONDS
        self._services: dict[str, float] = {}

    @property
    def mean(self) -> float:
        """Return the mean service time in seconds over all services."""
        return self._mean

    def estimate(self, service: str) -> float:
        """Return the expected service time of a service in seconds."""
        return self._services.get(service, self._mean)

    def record(self, service: str, seconds: float) -> None:
        """Record the service time of an answered request."""
        previous = self.estimate(service)
        self._services[service] = previous + SMOOTHING * (seconds - previous)
        self._mean += SMOOTHING * (seconds - self._mean)

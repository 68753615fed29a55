"""How long requests of each service hold a slot, from what was seen."""

INITIAL_SECONDS = 0.1
SMOOTHING = 0.1


class ServiceTimes:
    """Smoothed times; a service not seen yet takes that of all others."""

    __slots__ = ('_mean', '_services')

    def __init__(self) -> None:
        """Start without any measurement."""
        self._mean = INITIAL_SECONDS
        self._services: dict[str, float] = {}

    @property
    def mean(self) -> float:
        """Return the seconds that any request holds a slot."""
        return self._mean

    def estimate(self, service: str) -> float:
        """Return the seconds that a request of the service holds a slot."""
        return self._services.get(service, self._mean)

    def learn(self, service: str, seconds: float) -> None:
        """Count a request that was answered."""
        before = self.estimate(service)
        self._services[service] = before + SMOOTHING * (seconds - before)
        self._mean += SMOOTHING * (seconds - self._mean)

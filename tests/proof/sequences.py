"""Random sequences of faults, each decided by its seed."""

import trio

from tests.proof import matrix, procedures, site

FAULTS_IN_A_SEQUENCE = 5
GAP_S = (0.2, 3.0)


class _Sequence(matrix.Run):
    """Brings in faults at random moments, overlapping as they come."""

    async def drive(self) -> None:
        """See :class:`matrix.Run`."""
        await site.serve_first(self.own)
        await trio.sleep(matrix.SETTLED_S)
        self.reached = True
        self.own.start(self.traffic)
        async with trio.open_nursery() as nursery:
            for _ in range(FAULTS_IN_A_SEQUENCE):
                await trio.sleep(self.rng.uniform(*GAP_S))
                fault = self.rng.choice(matrix.FAULTS)()
                focus = procedures.Focus(
                    self.rng.choice(self.own.names()), self.rng.choice(sorted(self.own.servers))
                )
                nursery.start_soon(self._bring_and_heal, fault, focus)
        await trio.sleep(matrix.TRAFFIC_S)
        await self.end()

    async def _bring_and_heal(self, fault: matrix.Fault, focus: procedures.Focus) -> None:
        self.note(f"{fault.name} at {focus}")
        fault.bring(self.own, focus)
        await trio.sleep(fault.heal_after_s)
        fault.heal(self.own, focus)
        self.note(f"{fault.name} is healed")


def run(seed: int) -> tuple[matrix.Verdict, site.Site | None]:
    """Run the sequence of a seed."""
    return matrix.run_on(site.Plan(seed=seed), f"seed-{seed}", None, _Sequence, seed)

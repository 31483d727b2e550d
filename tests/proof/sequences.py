"""Random sequences of faults, determined by a seed."""

import trio

from tests.proof import matrix, procedures, site

FAULTS_PER_SEQUENCE = 5
FAULT_INTERVAL_S = (0.2, 3.0)


class _FaultSequence(matrix.Run):
    """Injects faults at random times; they may overlap."""

    async def drive(self) -> None:
        """See :class:`matrix.Run`."""
        await site.start_serving(self.testbed)
        await trio.sleep(matrix.SETTLE_S)
        self.reached = True
        self.testbed.start(self.traffic)
        async with trio.open_nursery() as nursery:
            for _ in range(FAULTS_PER_SEQUENCE):
                await trio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
                fault = self.rng.choice(matrix.FAULTS)()
                participants = procedures.Participants(
                    self.rng.choice(self.testbed.entry_names()),
                    self.rng.choice(sorted(self.testbed.servers)),
                )
                nursery.start_soon(self._inject_and_heal, fault, participants)
        await trio.sleep(matrix.TRAFFIC_S)
        await self.verify_recovery()

    async def _inject_and_heal(
        self, fault: matrix.Fault, participants: procedures.Participants
    ) -> None:
        self.record_note(f"{fault.name} at {participants}")
        fault.inject(self.testbed, participants)
        await trio.sleep(fault.heal_after_s)
        fault.heal(self.testbed, participants)
        self.record_note(f"{fault.name} is healed")


def run(seed: int) -> tuple[matrix.Verdict, site.Site | None]:
    """Run the sequence of a seed; the site is None if the run failed."""
    return matrix.run_on(site.SiteLayout(seed=seed), f"seed-{seed}", None, _FaultSequence, seed)

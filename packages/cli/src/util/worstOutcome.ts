import type { CommandOutcome } from "../CommandOutcome.js";
import { exitCodes } from "../exitCodes.js";

/** Returns the outcome with the highest exit code, or `done` if there are none. */
export function worstOutcome(outcomes: readonly CommandOutcome[]): CommandOutcome {
    return outcomes.reduce<CommandOutcome>(
        (worst, outcome) => (exitCodes[outcome] > exitCodes[worst] ? outcome : worst),
        "done",
    );
}

import type { CommandOutcome } from "../CommandOutcome.js";
import { exitCodes } from "../exitCodes.js";

/** The outcome with the highest exit code. */
export function worstOutcome(outcomes: readonly CommandOutcome[]): CommandOutcome {
    return outcomes.reduce<CommandOutcome>(
        (worst, outcome) => (exitCodes[outcome] > exitCodes[worst] ? outcome : worst),
        "done",
    );
}

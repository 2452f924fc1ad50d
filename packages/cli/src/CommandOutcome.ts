import type { exitCodes } from "./exitCodes.js";

/** How a command ended; the exit code follows from it. */
export type CommandOutcome = keyof typeof exitCodes;

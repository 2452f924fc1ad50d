import type { exitCodes } from "./exitCodes.js";

/** Result of a command, which determines the exit code. */
export type CommandOutcome = keyof typeof exitCodes;

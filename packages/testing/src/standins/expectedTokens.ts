import { tokenAt } from "./tokenAt.js";

/** The tokens of a whole generation by the stand-in engine, distinct for each model version and prompt. */
export function expectedTokens(modelVersion: string, prompt: string, maxTokens: number): string[] {
    return Array.from({ length: maxTokens }, (_, index) => tokenAt(modelVersion, prompt, index));
}

import { tokenAt } from "./tokenAt.js";

/** Returns the tokens of a complete generation by the stand-in engine; they depend on the model version and prompt. */
export function expectedTokens(modelVersion: string, prompt: string, maxTokens: number): string[] {
    return Array.from({ length: maxTokens }, (_, index) => tokenAt(modelVersion, prompt, index));
}

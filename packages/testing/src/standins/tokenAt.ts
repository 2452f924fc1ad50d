import { createHash } from "node:crypto";

/** Words that tokens begin with; some take more than one byte a letter. */
const WORDS = ["trup", "čistilnica", "pomol", "vaas", "skildery", "ladja", "morje", "€ocena"];

/** The text of token `index` of a generation: fixed by the model version, the prompt and the index alone. */
export function tokenAt(modelVersion: string, prompt: string, index: number): string {
    const digest = createHash("sha256").update(`${modelVersion}\n${index}\n${prompt}`).digest();
    const word = WORDS[digest.readUInt8(0) % WORDS.length];
    return `${index === 0 ? "" : " "}${word}-${digest.toString("hex", 1, 4)}`;
}

import { createHash } from "node:crypto";

/** Words that tokens begin with; some letters take more than one byte in UTF-8. */
const WORDS = ["trup", "čistilnica", "pomol", "vaas", "skildery", "ladja", "morje", "€ocena"];

/** Returns the text of a token; it depends only on the model version, the prompt and the index. */
export function tokenAt(modelVersion: string, prompt: string, index: number): string {
    const digest = createHash("sha256").update(`${modelVersion}\n${index}\n${prompt}`).digest();
    const word = WORDS[digest.readUInt8(0) % WORDS.length];
    return `${index === 0 ? "" : " "}${word}-${digest.toString("hex", 1, 4)}`;
}

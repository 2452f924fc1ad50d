import type { Random } from "@fescuehaven/runtime";

/**
 * Returns the shared parts of a prompt as an application sends them: a part that a third of all requests has, a subject
 * of which some are popular and some are rare, parts that always come together, and a session of a few requests.
 */
export function exampleParts(random: Random, nowMs: number): string[] {
    const parts = [`instructions-${Math.floor(random.next() * 3)}`, `subject-${Math.floor(200 * random.next() ** 2)}`];
    const kind = random.next();
    if (kind < 0.25) {
        const both = Math.floor(random.next() * 10);
        parts.push(`catalogue-${both}`, `index-${both}`);
    }
    else if (kind < 0.5) {
        parts.push(`session-${Math.floor(nowMs / 8000)}-${Math.floor(random.next() * 30)}`);
    }
    return parts;
}

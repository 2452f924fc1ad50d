import type { Upstream } from "../../src/model/Upstream.js";

/** An upstream without a group; `changes` replace fields. */
export function exampleUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
    return {
        id,
        startedAtMs: 1000,
        service: "llm",
        address: `${id}:80`,
        zone: "a",
        domain: "d0",
        state: "ready",
        slots: 18,
        coldUntilMs: 0,
        stagedModels: [],
        ...changes,
    };
}

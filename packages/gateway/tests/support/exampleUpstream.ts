import type { Upstream } from "../../src/model/Upstream.js";

/** Creates an upstream that belongs to no group. Fields in `changes` replace the defaults. */
export function exampleUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
    return {
        id,
        startedAtMs: 1000,
        registrationNumber: 0,
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

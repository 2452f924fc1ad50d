/** How the limit of an upstream moves between its cold and its warm value. */
export const rampOptions = {
    /** Factor of each step up. */
    growth: 1.5,
    /** Shortest time between two steps up. */
    stepMs: 1000,
    /** Factor of a step down after a refusal. */
    refusalBackoff: 0.5,
    /** Factor of a step down when answers are slow. */
    slowBackoff: 0.8,
    /** Shortest time between two steps down. */
    backoffMs: 500,
    /** Without a completed call for this long, the limit starts again from `idleShare` of the warm limit. */
    idleMs: 60_000,
    /** Part of the warm limit that an idle upstream starts from. */
    idleShare: 0.25,
} as const;

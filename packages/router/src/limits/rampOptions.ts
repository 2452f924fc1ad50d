/** How the limit of an upstream ramps between its cold and its warm value. */
export const rampOptions = {
    /** The limit is multiplied by this in each step up. */
    stepUpFactor: 1.5,
    minStepUpIntervalMs: 1000,
    /** The limit is multiplied by this after a refusal. */
    refusalStepDownFactor: 0.5,
    /** The limit is multiplied by this when responses are slow. */
    slownessStepDownFactor: 0.8,
    minStepDownIntervalMs: 500,
    /** Without a completed call for this long, the limit restarts from `idleStartFraction` of the warm limit. */
    idleAfterMs: 60_000,
    /** Fraction of the warm limit from which the limit of an idle upstream restarts. */
    idleStartFraction: 0.25,
} as const;

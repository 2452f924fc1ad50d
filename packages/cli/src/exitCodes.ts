/** Exit codes of `fescue`. */
export const exitCodes = {
    done: 0,
    failed: 1,
    invalid: 2,
    conflict: 3,
    "not-found": 4,
    unavailable: 5,
    "outcome-unknown": 6,
    partial: 7,
} as const;

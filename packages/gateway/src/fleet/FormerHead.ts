/** The head of an earlier epoch of a group, which may still serve with members that have left it. */
export interface FormerHead {
    /** When it must have given its group up, monotonic. */
    untilMs: number;
    /** Returns true if it is known to have left its group, or to have restarted. */
    hasLeft: () => boolean;
}

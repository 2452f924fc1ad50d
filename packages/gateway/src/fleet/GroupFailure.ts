/** A failure of a group that is certain, and the members that must not be part of it when it is re-formed. */
export interface GroupFailure {
    reason: string;
    excluded: ReadonlySet<string>;
}

/** Why a member failed a check. */
export interface MemberFailure {
    reason: string;
    /**
     * `silent` if it did not respond in time, which a sound member may not do either; `refused` if no process listens at
     * its address; `replaced` if another instance responds or it belongs to another group or epoch.
     */
    kind: "silent" | "refused" | "replaced";
}

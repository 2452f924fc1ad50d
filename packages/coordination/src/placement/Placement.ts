/** Where a group goes. */
export interface Placement {
    /** VM names by rank. */
    members: string[];
    /** Fabric domain of the members; several joined by "+". */
    fabricDomain: string;
    /** False where no single fabric domain had room. */
    inOneDomain: boolean;
}

/** VMs chosen for a group. */
export interface Placement {
    /** VM names by rank. */
    members: string[];
    /** Fabric domain of the members; several are joined by "+". */
    fabricDomain: string;
    /** False if no single fabric domain had enough free VMs. */
    inOneDomain: boolean;
}

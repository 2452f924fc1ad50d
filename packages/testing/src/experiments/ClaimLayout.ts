/** A way of storing claims in the platform, as used by one controller. */
export interface ClaimLayout {
    /** Claims `count` free VMs for the group; returns whether enough VMs could be claimed. */
    claim(group: string, count: number): Promise<boolean>;

    /** Reads the claimed VMs of each group from the platform. */
    claimedVms(): Promise<Map<string, string[]>>;
}

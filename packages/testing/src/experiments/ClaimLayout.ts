/** One way of keeping claims in the platform, as one controller uses it. */
export interface ClaimLayout {
    /** Claims `count` VMs that are free for the group; false when too few could be had. */
    claim(group: string, count: number): Promise<boolean>;

    /** VMs that a group of this layout holds according to the platform. */
    claimedVms(): Promise<Map<string, string[]>>;
}

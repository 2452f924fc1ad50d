/** One-way latency between two availability zones, the same in both directions unless both are listed. */
export interface ZoneDelay {
    fromZone: string;
    toZone: string;
    delayMs: number;
}

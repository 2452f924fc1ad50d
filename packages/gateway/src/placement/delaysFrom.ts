import type { ZoneDelay } from "../model/ZoneDelay.js";

/** Latencies that can be used, and the configured entries that cannot. */
interface DelaysFrom {
    /** One-way latency from the zone to each other zone. */
    delaysMs: ReadonlyMap<string, number>;
    ignored: ReadonlyArray<{ entry: ZoneDelay; reason: "unknown zone" | "invalid delay"; }>;
}

/** Returns the configured latencies from a zone. Entries that name other zones than the known ones are ignored. */
export function delaysFrom(zone: string, entries: readonly ZoneDelay[], knownZones: ReadonlySet<string>): DelaysFrom {
    const delaysMs = new Map<string, number>();
    const reverse = new Map<string, number>();
    const ignored: Array<DelaysFrom["ignored"][number]> = [];
    for (const entry of entries) {
        const { fromZone, toZone, delayMs } = entry;
        if (!knownZones.has(fromZone) || !knownZones.has(toZone)) {
            ignored.push({ entry, reason: "unknown zone" });
        }
        else if (!Number.isFinite(delayMs) || delayMs < 0) {
            ignored.push({ entry, reason: "invalid delay" });
        }
        else if (fromZone === zone && toZone !== zone) {
            delaysMs.set(toZone, delayMs);
        }
        else if (toZone === zone && fromZone !== zone) {
            reverse.set(fromZone, delayMs);
        }
    }
    return { delaysMs: new Map([...reverse, ...delaysMs]), ignored };
}

import { SeededRandom } from "../fakes/SeededRandom.js";
import type { SpareScenario } from "./SpareScenario.js";
import type { ZoneEvent } from "./ZoneEvent.js";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Failures and restarts of one VM per day: 8 and 350 per day among 600 VMs. */
const FAILURES_PER_DAY = 8 / 600;
const RESTARTS_PER_DAY = 350 / 600;
const MEAN_REPAIR_MS = 4 * HOUR_MS;
const RESTART_MS = 5 * MINUTE_MS;
/** Mean interval between outages of one of the zone's fabric domains, and their duration. */
const DOMAIN_OUTAGE_EVERY_MS = 45 * DAY_MS;
const DOMAIN_OUTAGE_MS = HOUR_MS;
const CHANGE_EVERY_MS = 12 * HOUR_MS;

/** Draws the events of a zone; the same scenario always gives the same events, so that policies can be compared. */
export function createZoneTrace(scenario: SpareScenario): ZoneEvent[] {
    const random = SeededRandom.create(scenario.seed);
    const drawInterval = (meanMs: number) => -Math.log(1 - random.next()) * meanMs;
    const endMs = scenario.days * DAY_MS;
    const events: ZoneEvent[] = [];
    const repeat = (everyMs: number, add: (atMs: number) => void) => {
        for (let atMs = drawInterval(everyMs); atMs < endMs; atMs += drawInterval(everyMs)) {
            add(atMs);
        }
    };
    for (const [domain, count] of Object.entries(scenario.domains)) {
        const vms = Array.from({ length: count }, (_, index) => `${domain}-${String(index).padStart(2, "0")}`);
        for (const vm of vms) {
            repeat(
                DAY_MS / FAILURES_PER_DAY,
                atMs => events.push({ atMs, kind: "down", vms: [vm], forMs: drawInterval(MEAN_REPAIR_MS) }),
            );
            repeat(
                DAY_MS / RESTARTS_PER_DAY,
                atMs => events.push({ atMs, kind: "down", vms: [vm], forMs: RESTART_MS }),
            );
        }
        repeat(
            DOMAIN_OUTAGE_EVERY_MS * Object.keys(scenario.domains).length,
            atMs => events.push({ atMs, kind: "down", vms, forMs: DOMAIN_OUTAGE_MS }),
        );
    }
    events.push(...createChanges(scenario, endMs, random));
    return events.sort((left, right) => left.atMs - right.atMs);
}

/**
 * Creates the events by which operators add the permanent groups at the start, in the order of `groupSizes`, and then
 * replace a small group with one of another size at regular intervals.
 */
function createChanges(scenario: SpareScenario, endMs: number, random: SeededRandom): ZoneEvent[] {
    const events: ZoneEvent[] = scenario.groupSizes.map((size, index) => ({
        atMs: index,
        kind: "add",
        group: `stays-${index}`,
        size,
    }));
    let previous: string | undefined;
    for (let atMs = 0, change = 0; atMs < endMs; atMs += CHANGE_EVERY_MS, change++) {
        if (previous) {
            events.push({ atMs, kind: "remove", group: previous });
        }
        const size = scenario.changingSizes[Math.floor(random.next() * scenario.changingSizes.length)] ?? 1;
        previous = `changes-${change}`;
        events.push({ atMs: atMs + MINUTE_MS, kind: "add", group: previous, size });
    }
    return events;
}

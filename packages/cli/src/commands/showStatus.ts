import type { Peer } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import {
    type GroupStatus,
    groupStatusSchema,
    type MaintenanceIntent,
    maintenanceIntentSchema,
    type ZoneLease,
    zoneLeaseSchema,
} from "@fescuehaven/resources";
import type { z } from "zod";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { renderTable } from "../util/renderTable.js";

interface NamedValue<T> {
    name: string;
    value: T;
}

interface ProcessState {
    name: string;
    role: Peer["role"];
    zone: string;
    reachable: boolean;
    configurationRevision?: number;
    state?: Record<string, unknown>;
}

interface StatusReport {
    groups: NamedValue<GroupStatus>[];
    leases: NamedValue<ZoneLease>[];
    intents: NamedValue<MaintenanceIntent>[];
    processes: ProcessState[];
}

/** Prints groups, active controllers, maintenance intents, and the active configuration revision of each process. */
export async function showStatus(context: CommandContext): Promise<CommandOutcome> {
    const [listed, processes] = await Promise.all([
        context.store.list(["group-status", "zone-lease", "maintenance-intent"], "read"),
        Promise.all(context.processes.map(peer => readProcess(context, peer))),
    ]);
    const objects = listed.kind === "listed" ? listed.objects : [];
    const report: StatusReport = {
        groups: valuesOf(objects, "group-status", groupStatusSchema),
        leases: valuesOf(objects, "zone-lease", zoneLeaseSchema),
        intents: valuesOf(objects, "maintenance-intent", maintenanceIntentSchema),
        processes,
    };
    printers[context.format](context, report);
    if (listed.kind === "unavailable") {
        context.output.error("The platform is unavailable: groups, leases and intents are not shown.");
        return "partial";
    }
    return processes.every(process => process.reachable) ? "done" : "partial";
}

async function readProcess(context: CommandContext, peer: Peer): Promise<ProcessState> {
    const response = await context.reader.state(peer);
    const { name, role, zone } = peer;
    return response ? { name, role, zone, reachable: true, ...response } : { name, role, zone, reachable: false };
}

function valuesOf<T>(objects: StoredObject[], kind: string, schema: z.ZodType<T>): NamedValue<T>[] {
    return objects.filter(object => object.kind === kind).flatMap(object => {
        const parsed = schema.safeParse(object.value);
        return parsed.success ? [{ name: object.name, value: parsed.data }] : [];
    }).sort((left, right) => left.name.localeCompare(right.name));
}

const printers: Record<CommandContext["format"], (context: CommandContext, report: StatusReport) => void> = {
    json: (context, report) => context.output.line(JSON.stringify(report, undefined, 2)),
    table: (context, report) => {
        const sections = [groupRows(report), leaseRows(report), intentRows(report), processRows(report)];
        for (const rows of sections) {
            renderTable(rows).forEach(line => context.output.line(line));
            context.output.line("");
        }
    },
};

function groupRows(report: StatusReport): string[][] {
    const rows = report.groups.map(({ name, value }) => [
        name,
        value.phase,
        value.reason,
        String(value.epoch),
        value.modelVersion,
        value.members.join(","),
        value.since,
    ]);
    return [["GROUP", "PHASE", "REASON", "EPOCH", "MODEL VERSION", "MEMBERS", "SINCE"], ...rows];
}

function leaseRows(report: StatusReport): string[][] {
    const rows = report.leases.map(({ name, value }) => [name, value.holder || "(released)", String(value.fence)]);
    return [["ZONE", "ACTIVE CONTROLLER", "FENCE"], ...rows];
}

function intentRows(report: StatusReport): string[][] {
    const rows = report.intents.map(({ name, value }) => [
        name,
        `${value.target.kind} ${value.target.name}`,
        value.requestedBy,
        value.reason,
    ]);
    return [["INTENT", "TARGET", "REQUESTED BY", "REASON"], ...rows];
}

function processRows(report: StatusReport): string[][] {
    const rows = report.processes.map(process => [
        process.name,
        process.role,
        process.zone,
        process.reachable ? String(process.configurationRevision) : "not reached",
    ]);
    return [["PROCESS", "ROLE", "ZONE", "CONFIGURATION REVISION"], ...rows];
}

import type { MemberReport } from "@fescuehaven/coordination";
import type { ObjectChange } from "@fescuehaven/platform";
import { type ZoneLedger, zoneLedgerSchema } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import { request } from "undici";
import type { RunningSystem } from "../system/RunningSystem.js";
import { findDoubleClaims } from "./findDoubleClaims.js";

/** Pause between two reads of all reports. */
const REPORT_INTERVAL_MS = 250;

/** Pause before a failed watch is repeated. */
const RETRY_PAUSE_MS = 300;

/** Time that a watch waits at the platform, and longest wait for its response. */
const WATCH = { waitMs: 1000, timeoutMs: 3000 };

/** Checks every revision of the zone ledgers and the engines' reports against the rule that a VM has one group. */
export class ClaimMonitor {
    /** Descriptions of the violations, without repeats. */
    readonly violations = new Set<string>();
    /** Number of ledger revisions and reports that were read. */
    readonly counts = { ledgerRevisions: 0, reports: 0 };
    /** Claims in any ledger revision so far, and claims that engines have reported so far. */
    private readonly ledgerClaims = new Set<string>();
    private readonly reportedClaims = new Set<string>();
    private readonly ledgers = new Map<string, ZoneLedger>();
    private readonly stopping = new AbortController();
    private revision = 0;

    private constructor(private readonly system: RunningSystem, private readonly clock: Clock) {}

    /** Creates a monitor; it reads nothing until `run` is called. */
    static create(system: RunningSystem, clock: Clock): ClaimMonitor {
        return new ClaimMonitor(system, clock);
    }

    /** Reads ledgers and reports until `finish` is called. */
    async run(): Promise<void> {
        await Promise.all([this.watchLedgers(), this.readReports()]);
    }

    /** Reads the remaining ledger revisions and checks the reported claims. Call it after the faults have ended. */
    async finish(): Promise<void> {
        this.stopping.abort();
        await this.readChanges(0);
        for (const claim of this.reportedClaims) {
            if (!this.ledgerClaims.has(claim)) {
                this.violations.add(`An engine followed an order without a claim in any ledger revision: ${claim}.`);
            }
        }
    }

    private async watchLedgers(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                await this.readChanges(WATCH.waitMs);
            }
            catch {
                await this.clock.sleep(RETRY_PAUSE_MS, this.stopping.signal);
            }
        }
    }

    private async readChanges(waitMs: number): Promise<void> {
        const url = `${this.system.topology.platformUrl}/v1/watch?kinds=zone-ledger&after=${this.revision}`;
        const response = await request(`${url}&waitMs=${waitMs}`, { signal: AbortSignal.timeout(WATCH.timeoutMs) });
        const body = await response.body.json() as { changes: ObjectChange[]; revision: number; };
        if (response.statusCode !== 200) {
            throw new Error(`The watch returned status ${response.statusCode}.`);
        }
        body.changes.forEach(change => this.checkChange(change));
        this.revision = Math.max(this.revision, body.revision);
    }

    private checkChange(change: ObjectChange): void {
        if (change.kind !== "written" || change.object.revision <= this.revision) {
            return;
        }
        const { name, revision, value } = change.object;
        const ledger = zoneLedgerSchema.parse(value);
        this.counts.ledgerRevisions += 1;
        findDoubleClaims(ledger).forEach(violation =>
            this.violations.add(`${name} at revision ${revision}: ${violation}`)
        );
        const previous = this.ledgers.get(name);
        if (previous && (ledger.lastEpoch < previous.lastEpoch || ledger.leaseFence < previous.leaseFence)) {
            this.violations.add(`${name} at revision ${revision}: the last epoch or the lease fence decreased.`);
        }
        this.ledgers.set(name, ledger);
        for (const [vm, { group, epoch, rank }] of Object.entries(ledger.claims)) {
            this.ledgerClaims.add(describeClaim(vm, group, epoch, rank));
        }
    }

    private async readReports(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const engines = this.system.engines();
            const reports = await Promise.all(engines.map(engine => engine.admin.report().catch(() => undefined)));
            this.checkReports(reports.filter(report => report !== undefined));
            await this.clock.sleep(REPORT_INTERVAL_MS, this.stopping.signal);
        }
    }

    private checkReports(reports: readonly MemberReport[]): void {
        const holders = new Map<string, string>();
        for (const { vm, group, epoch, rank } of reports.filter(report => report.group)) {
            this.counts.reports += 1;
            this.reportedClaims.add(describeClaim(vm, group, epoch, rank));
            const position = `${group} epoch ${epoch} rank ${rank}`;
            const other = holders.get(position);
            if (other) {
                this.violations.add(`${other} and ${vm} both report ${position}.`);
            }
            holders.set(position, vm);
        }
    }
}

function describeClaim(vm: string, group: string, epoch: number, rank: number): string {
    return `${vm} in ${group} epoch ${epoch} rank ${rank}`;
}

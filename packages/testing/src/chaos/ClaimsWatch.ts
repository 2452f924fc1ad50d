import type { MemberReport } from "@fescuehaven/coordination";
import type { ObjectChange } from "@fescuehaven/platform";
import { type ZoneLedger, zoneLedgerSchema } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import { request } from "undici";
import type { RunningSystem } from "../system/RunningSystem.js";
import { findDoubleClaims } from "./findDoubleClaims.js";

/** Pause between two rounds of reading reports, ms. */
const REPORT_INTERVAL_MS = 250;

/** Pause before a failed watch is repeated, ms. */
const RETRY_PAUSE_MS = 300;

/** Time that a watch waits at the platform, and longest wait for its answer, ms. */
const WATCH = { waitMs: 1000, timeoutMs: 3000 };

/** Holds every revision of the zone ledgers, and what engines report, against the rule of one group for each VM. */
export class ClaimsWatch {
    /** What was wrong, each said once. */
    readonly violations = new Set<string>();
    /** Ledger revisions and reports read. */
    readonly counts = { ledgerRevisions: 0, reports: 0 };
    /** Claims ever given, and claims that engines reported. */
    private readonly given = new Set<string>();
    private readonly reported = new Set<string>();
    private readonly ledgers = new Map<string, ZoneLedger>();
    private readonly stopping = new AbortController();
    private revision = 0;

    private constructor(private readonly system: RunningSystem, private readonly clock: Clock) {}

    /** Creates a watch that has seen nothing. */
    static create(system: RunningSystem, clock: Clock): ClaimsWatch {
        return new ClaimsWatch(system, clock);
    }

    /** Reads until `finish`. */
    async run(): Promise<void> {
        await Promise.all([this.watchLedgers(), this.readReports()]);
    }

    /** Reads what is left and compares all; the faults must be over. */
    async finish(): Promise<void> {
        this.stopping.abort();
        await this.readChanges(0);
        for (const claim of this.reported) {
            if (!this.given.has(claim)) {
                this.violations.add(`An engine followed an order that no ledger revision gave: ${claim}.`);
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
            throw new Error(`The watch gave ${response.statusCode}.`);
        }
        body.changes.forEach(change => this.takeChange(change));
        this.revision = Math.max(this.revision, body.revision);
    }

    private takeChange(change: ObjectChange): void {
        if (change.kind !== "written" || change.object.revision <= this.revision) {
            return;
        }
        const { name, revision, value } = change.object;
        const ledger = zoneLedgerSchema.parse(value);
        this.counts.ledgerRevisions += 1;
        findDoubleClaims(ledger).forEach(fault => this.violations.add(`${name} at revision ${revision}: ${fault}`));
        const before = this.ledgers.get(name);
        if (before && (ledger.lastEpoch < before.lastEpoch || ledger.leaseFence < before.leaseFence)) {
            this.violations.add(`${name} at revision ${revision}: an epoch or fence went down.`);
        }
        this.ledgers.set(name, ledger);
        for (const [vm, { group, epoch, rank }] of Object.entries(ledger.claims)) {
            this.given.add(claimText(vm, group, epoch, rank));
        }
    }

    private async readReports(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const engines = this.system.engines();
            const reports = await Promise.all(engines.map(engine => engine.admin.report().catch(() => undefined)));
            this.takeReports(reports.filter(report => report !== undefined));
            await this.clock.sleep(REPORT_INTERVAL_MS, this.stopping.signal);
        }
    }

    private takeReports(reports: readonly MemberReport[]): void {
        const holders = new Map<string, string>();
        for (const { vm, group, epoch, rank } of reports.filter(report => report.group)) {
            this.counts.reports += 1;
            this.reported.add(claimText(vm, group, epoch, rank));
            const place = `${group} epoch ${epoch} rank ${rank}`;
            const other = holders.get(place);
            if (other) {
                this.violations.add(`${other} and ${vm} both report ${place}.`);
            }
            holders.set(place, vm);
        }
    }
}

function claimText(vm: string, group: string, epoch: number, rank: number): string {
    return `${vm} in ${group} epoch ${epoch} rank ${rank}`;
}

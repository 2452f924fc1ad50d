import type { Clock, Random } from "@fescuehaven/runtime";
import type { CallRecord } from "../callers/CallRecord.js";
import type { Workload } from "../callers/Workload.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { RunningSystem } from "../system/RunningSystem.js";
import { Traffic } from "../system/Traffic.js";
import { untilTrue } from "../util/untilTrue.js";
import { ChaosState } from "./ChaosState.js";
import { ClaimsWatch } from "./ClaimsWatch.js";
import type { FaultContext } from "./FaultContext.js";
import { faultHandlers } from "./faultHandlers.js";
import { findCallFaults } from "./findCallFaults.js";
import { findUnrecovered } from "./findUnrecovered.js";
import type { PlannedFault } from "./PlannedFault.js";
import { RevisionWatch } from "./RevisionWatch.js";
import { nextVersionOf } from "./util/nextVersionOf.js";

/** Longest time from the last fault until everything is ready again, ms. */
const RECOVERY_DEADLINE_MS = 60_000;

/** Calls that must all be whole after the recovery. */
const CALLS_AFTERWARDS = 60;

/** Calls that callers send during the faults. */
const WORKLOAD: Partial<Workload> = {
    callsPerSecond: 15,
    servicePart: 0.2,
    keyedPart: 0.3,
    timeoutMs: 10_000,
    maxAttempts: 6,
};

const TOPOLOGY = { engineBehaviour: { tokenMs: 10 } };
const OBJECTS = { groupsPerZone: 2 };

interface ChaosOptions {
    clock: Clock;
    /** For what need not repeat, such as the network. */
    random: Random;
    binaries: string;
    seed: number;
    /** Makes the schedule for a system that runs. */
    plan: (system: RunningSystem, random: Random) => PlannedFault[];
    note: (line: string) => void;
    /** Keep the processes' logs when something was violated. */
    keepLogs?: boolean;
}

/** What a run came to. */
interface ChaosOutcome {
    violations: string[];
    faults: readonly PlannedFault[];
    records: readonly CallRecord[];
    counts: Record<string, number>;
}

/** A whole system under calls and a schedule of faults, checked while they last and after they are over. */
export class ChaosRun {
    private readonly violations: string[] = [];
    private readonly state: ChaosState;
    private readonly claims: ClaimsWatch;
    private readonly revisions: RevisionWatch;

    private constructor(private readonly options: ChaosOptions, private readonly system: RunningSystem) {
        this.state = ChaosState.create(options.clock);
        this.claims = ClaimsWatch.create(system, options.clock);
        this.revisions = RevisionWatch.create({ ...options, system });
    }

    /** Starts a system, runs the schedule, and gives what was seen. */
    static async run(options: ChaosOptions): Promise<ChaosOutcome> {
        const system = await RunningSystem.start({ ...options, topology: TOPOLOGY, objects: OBJECTS });
        let keepFiles = options.keepLogs ?? false;
        try {
            await system.untilPhase("ready");
            const outcome = await new ChaosRun(options, system).execute();
            keepFiles &&= outcome.violations.length > 0;
            return outcome;
        }
        finally {
            await system.launcher.stopAll(keepFiles);
            if (keepFiles) {
                options.note(`logs are in ${system.launcher.files}`);
            }
        }
    }

    private async execute(): Promise<ChaosOutcome> {
        const { clock, seed } = this.options;
        const faults = this.options.plan(this.system, SeededRandom.create(seed));
        const watches = [this.claims.run(), this.revisions.run()];
        const traffic = await this.startTraffic(seed);
        const startMs = clock.monotonicMs();
        await Promise.all(faults.map(fault => this.bringAbout(fault, startMs)));
        const endedMs = clock.monotonicMs();
        const records = await traffic.finish();
        await this.untilRecovered();
        const recoveryMs = clock.monotonicMs() - endedMs;
        const afterwards = await this.callAfterwards(seed + 1);
        this.revisions.stop();
        await this.claims.finish();
        await Promise.all(watches);
        const executions = await this.system.executions();
        this.violations.push(
            ...findCallFaults([...records, ...afterwards], executions, this.system, this.state),
            ...this.claims.violations,
            ...this.revisions.violations,
        );
        const counts = { recoveryMs, revisionsRead: this.revisions.count, ...this.claims.counts };
        return { violations: this.violations, faults, records, counts };
    }

    private async startTraffic(seed: number): Promise<Traffic> {
        const { modelVersion } = this.system.objects.options;
        const modelVersions = [modelVersion, nextVersionOf(modelVersion)];
        return Traffic.start({
            system: this.system,
            clock: this.options.clock,
            seed,
            workload: WORKLOAD,
            modelVersions,
        });
    }

    private async bringAbout(fault: PlannedFault, startMs: number): Promise<void> {
        const { clock, note } = this.options;
        await clock.sleep(startMs + fault.atMs - clock.monotonicMs());
        const atSeconds = (fault.atMs / 1000).toFixed(1);
        note(`${atSeconds} s ${fault.kind} ${fault.target} for ${Math.round(fault.durationMs)} ms`);
        const context: FaultContext = { system: this.system, clock, state: this.state };
        try {
            await faultHandlers[fault.kind](context, fault);
        }
        catch (error) {
            this.violations.push(`${fault.kind} ${fault.target}: ${(error as Error).message}`);
        }
    }

    private async untilRecovered(): Promise<void> {
        let unrecovered: string[] = [];
        try {
            await untilTrue(this.options.clock, "recovered", RECOVERY_DEADLINE_MS, async () => {
                unrecovered = await findUnrecovered(this.system, this.revisions.latest);
                return unrecovered.length === 0;
            });
        }
        catch (error) {
            this.violations.push(`After the faults: ${(error as Error).message} ${unrecovered.join(" ")}`);
        }
    }

    private async callAfterwards(seed: number): Promise<CallRecord[]> {
        try {
            const traffic = await this.startTraffic(seed);
            await traffic.untilEnded(CALLS_AFTERWARDS);
            const records = await traffic.finish();
            for (const { kind, finalClass, attempts } of records) {
                if (finalClass !== "correct") {
                    const details = attempts.map(({ router, responseClass, detail }) =>
                        `${router} ${responseClass} ${detail}`
                    );
                    this.violations.push(`After the faults a ${kind} call was not whole: ${details.join("; ")}`);
                }
            }
            return records;
        }
        catch (error) {
            this.violations.push(`After the faults: ${(error as Error).message}`);
            return [];
        }
    }
}

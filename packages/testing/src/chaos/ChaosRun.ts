import type { Clock, Random } from "@fescuehaven/runtime";
import type { CallRecord } from "../callers/CallRecord.js";
import type { Workload } from "../callers/Workload.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { RunningSystem } from "../system/RunningSystem.js";
import { Traffic } from "../system/Traffic.js";
import { untilTrue } from "../util/untilTrue.js";
import { ChaosState } from "./ChaosState.js";
import { ClaimMonitor } from "./ClaimMonitor.js";
import type { FaultContext } from "./FaultContext.js";
import { faultHandlers } from "./faultHandlers.js";
import { findCallViolations } from "./findCallViolations.js";
import { findUnrecovered } from "./findUnrecovered.js";
import type { PlannedFault } from "./PlannedFault.js";
import { RevisionMonitor } from "./RevisionMonitor.js";
import { nextVersionOf } from "./util/nextVersionOf.js";

/** Longest time from the end of the last fault until the system has recovered. */
const RECOVERY_DEADLINE_MS = 60_000;

/** Number of calls after the recovery, each of which must get a correct response. */
const CALLS_AFTER_RECOVERY = 60;

/** Workload during the faults and after the recovery. */
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
    /** Source of randomness for choices that need not be repeatable, such as the network. */
    random: Random;
    binaries: string;
    seed: number;
    /** Returns the schedule of faults for the running system. */
    plan: (system: RunningSystem, random: Random) => PlannedFault[];
    note: (line: string) => void;
    /** Whether to keep the processes' logs if there were violations. */
    keepLogs?: boolean;
}

/** Result of a run. */
interface ChaosOutcome {
    violations: string[];
    faults: readonly PlannedFault[];
    records: readonly CallRecord[];
    counts: Record<string, number>;
}

/** Runs a complete system under calls and a schedule of faults, and checks it during the faults and afterwards. */
export class ChaosRun {
    private readonly violations: string[] = [];
    private readonly state: ChaosState;
    private readonly claimMonitor: ClaimMonitor;
    private readonly revisionMonitor: RevisionMonitor;

    private constructor(private readonly options: ChaosOptions, private readonly system: RunningSystem) {
        this.state = ChaosState.create(options.clock);
        this.claimMonitor = ClaimMonitor.create(system, options.clock);
        this.revisionMonitor = RevisionMonitor.create({ ...options, system });
    }

    /** Starts a system, runs the schedule and returns the result; stops the system in any case. */
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
        const monitors = [this.claimMonitor.run(), this.revisionMonitor.run()];
        const traffic = await this.startTraffic(seed);
        const startMs = clock.monotonicMs();
        await Promise.all(faults.map(fault => this.injectFault(fault, startMs)));
        const endedMs = clock.monotonicMs();
        const records = await traffic.finish();
        await this.waitUntilRecovered();
        const recoveryMs = clock.monotonicMs() - endedMs;
        const recordsAfterRecovery = await this.sendCallsAfterRecovery(seed + 1);
        this.revisionMonitor.stop();
        await this.claimMonitor.finish();
        await Promise.all(monitors);
        const executions = await this.system.executions();
        this.violations.push(
            ...findCallViolations([...records, ...recordsAfterRecovery], executions, this.system, this.state),
            ...this.claimMonitor.violations,
            ...this.revisionMonitor.violations,
        );
        const counts = { recoveryMs, revisionsRead: this.revisionMonitor.count, ...this.claimMonitor.counts };
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

    private async injectFault(fault: PlannedFault, startMs: number): Promise<void> {
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

    private async waitUntilRecovered(): Promise<void> {
        let unrecovered: string[] = [];
        try {
            await untilTrue(this.options.clock, "recovered", RECOVERY_DEADLINE_MS, async () => {
                unrecovered = await findUnrecovered(this.system, this.revisionMonitor.latest);
                return unrecovered.length === 0;
            });
        }
        catch (error) {
            this.violations.push(`No recovery after the faults: ${(error as Error).message} ${unrecovered.join(" ")}`);
        }
    }

    private async sendCallsAfterRecovery(seed: number): Promise<CallRecord[]> {
        try {
            const traffic = await this.startTraffic(seed);
            await traffic.untilEnded(CALLS_AFTER_RECOVERY);
            const records = await traffic.finish();
            for (const { kind, finalClass, attempts } of records) {
                if (finalClass !== "correct") {
                    const details = attempts.map(({ router, responseClass, detail }) =>
                        `${router} ${responseClass} ${detail}`
                    );
                    this.violations.push(
                        `A ${kind} call after the faults got no correct response: ${details.join("; ")}`,
                    );
                }
            }
            return records;
        }
        catch (error) {
            this.violations.push(`Calls after the faults failed: ${(error as Error).message}`);
            return [];
        }
    }
}

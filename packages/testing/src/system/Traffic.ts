import type { Clock } from "@fescuehaven/runtime";
import { Balancer } from "../callers/Balancer.js";
import { CallerClient } from "../callers/CallerClient.js";
import { CallerPool } from "../callers/CallerPool.js";
import type { CallRecord } from "../callers/CallRecord.js";
import { ResponseChecker } from "../callers/ResponseChecker.js";
import { type Workload, workloadSchema } from "../callers/Workload.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { untilTrue } from "../util/untilTrue.js";
import type { RunningSystem } from "./RunningSystem.js";

/** Longest wait for ready routers or for a number of calls to end. */
const WAIT_DEADLINE_MS = 30_000;

/** Time after which calls stop arriving if `finish` or `abort` is not called before. */
const MAX_DURATION_MS = 120_000;

interface TrafficOptions {
    system: RunningSystem;
    clock: Clock;
    seed: number;
    workload?: Partial<Workload>;
    /** Model versions, one of which must have generated each response; defaults to the system's version. */
    modelVersions?: readonly string[];
}

/** Sends calls to a running system until it is stopped, and checks each response. */
export class Traffic {
    /** Counts the last attempts of calls by class. */
    readonly checker = ResponseChecker.create();
    private readonly client: CallerClient;
    private readonly balancer: Balancer;
    private readonly pool: CallerPool;
    private run: Promise<CallRecord[]> = Promise.resolve([]);
    private finishedRecords: Promise<CallRecord[]> | undefined;

    private constructor(private readonly clock: Clock, options: TrafficOptions) {
        const { system, seed, workload } = options;
        const { model, modelVersion } = system.objects.options;
        const random = SeededRandom.create(seed, `s${seed}`);
        this.client = CallerClient.create({ clock });
        this.balancer = Balancer.create({ urls: system.routerUrls(), clock, random: SeededRandom.create(seed) });
        this.pool = CallerPool.create({
            clock,
            random,
            client: this.client,
            balancer: this.balancer,
            checker: this.checker,
            accounts: system.objects.accounts,
            workload: workloadSchema.parse(workload ?? {}),
            model,
            modelVersions: options.modelVersions ?? [modelVersion],
            routes: { repeatable: "lookup", keyed: "book" },
        });
    }

    /** Waits until every router is ready, then starts sending calls. */
    static async start(options: TrafficOptions): Promise<Traffic> {
        const traffic = new Traffic(options.clock, options);
        const routers = options.system.routerUrls().length;
        void traffic.balancer.run();
        await untilTrue(
            options.clock,
            "routers ready",
            WAIT_DEADLINE_MS,
            () => traffic.balancer.readyCount === routers,
        );
        traffic.run = traffic.pool.run(MAX_DURATION_MS);
        return traffic;
    }

    /** Records of the calls that have ended. */
    get records(): readonly CallRecord[] {
        return this.pool.records;
    }

    /** Waits until `count` more calls have ended. */
    async untilEnded(count: number): Promise<void> {
        const target = this.pool.records.length + count;
        await untilTrue(this.clock, `${count} more calls`, WAIT_DEADLINE_MS, () => this.pool.records.length >= target);
    }

    /**
     * Stops sending new calls, waits for those in progress and returns all records. Calling it again returns the same
     * records.
     */
    finish(): Promise<CallRecord[]> {
        this.finishedRecords ??= this.end();
        return this.finishedRecords;
    }

    /** Stops at once without waiting for calls in progress, for the cleanup after a failed test. */
    async abort(): Promise<void> {
        this.pool.stop();
        await this.balancer.close();
        await this.client.close();
    }

    private async end(): Promise<CallRecord[]> {
        this.pool.stop();
        const records = await this.run;
        await this.balancer.close();
        await this.client.close();
        return records;
    }
}

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

/** Longest wait for a number of calls to end, ms. */
const FLOW_DEADLINE_MS = 30_000;

/** Longest time that calls arrive when nobody stops them, ms. */
const MAX_DURATION_MS = 120_000;

interface TrafficOptions {
    system: RunningSystem;
    clock: Clock;
    seed: number;
    workload?: Partial<Workload>;
    /** Model versions of which one answers each call. Left out: the system's. */
    modelVersions?: readonly string[];
}

/** Calls that arrive at a running system until told to end, each checked. */
export class Traffic {
    /** Last attempts by class. */
    readonly checker = ResponseChecker.create();
    private readonly client: CallerClient;
    private readonly balancer: Balancer;
    private readonly pool: CallerPool;
    private run: Promise<CallRecord[]> = Promise.resolve([]);
    private finished: Promise<CallRecord[]> | undefined;

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

    /** Starts to send calls; resolves once every router was found ready. */
    static async start(options: TrafficOptions): Promise<Traffic> {
        const traffic = new Traffic(options.clock, options);
        const routers = options.system.routerUrls().length;
        void traffic.balancer.run();
        await untilTrue(
            options.clock,
            "routers ready",
            FLOW_DEADLINE_MS,
            () => traffic.balancer.readyCount === routers,
        );
        traffic.run = traffic.pool.run(MAX_DURATION_MS);
        return traffic;
    }

    /** Calls that have ended. */
    get records(): readonly CallRecord[] {
        return this.pool.records;
    }

    /** Waits until `count` more calls have ended. */
    async untilEnded(count: number): Promise<void> {
        const target = this.pool.records.length + count;
        await untilTrue(this.clock, `${count} more calls`, FLOW_DEADLINE_MS, () => this.pool.records.length >= target);
    }

    /** Lets no more calls arrive and waits for those in progress; gives all records. Later calls give the same. */
    finish(): Promise<CallRecord[]> {
        this.finished ??= this.end();
        return this.finished;
    }

    /** Breaks off at once; for the end of a test that failed. */
    async abandon(): Promise<void> {
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

import {
    type EngineControl,
    type EngineOrder,
    engineUrl,
    type MemberReport,
    type OrderOutcome,
} from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import type { FakeEngine } from "./FakeEngine.js";

/** In-memory engines that obey or ignore fencing tokens, with switchable faults of the engines and their network. */
export class FakeEngines implements EngineControl {
    private readonly engines = new Map<string, FakeEngine>();
    private bootCount = 0;
    /** Number of calls so far, by method. */
    readonly calls = { report: 0, order: 0 };

    private constructor(private readonly clock: Clock, private readonly loadMs: number) {}

    /** Creates engines that take `loadMs` to load weights. */
    static create(clock: Clock, loadMs = 1000): FakeEngines {
        return new FakeEngines(clock, loadMs);
    }

    /** Starts an engine without a model on a VM. */
    add(record: VmRecord, options: { obeysFencing?: boolean; } = {}): FakeEngine {
        const engine: FakeEngine = {
            record,
            bootId: this.nextBootId(),
            obeysFencing: options.obeysFencing ?? true,
            reachable: true,
            losesResponses: false,
            delaysOrders: false,
            highestFence: 0,
            held: undefined,
            readyAtMs: 0,
            runningRequests: 0,
            delayedOrders: [],
            appliedOrders: [],
            lastEmptyAtMs: this.clock.monotonicMs(),
            apply: order => this.applyOrder(engine, order),
            report: () => this.reportOf(engine),
        };
        this.engines.set(record.name, engine);
        return engine;
    }

    /** Returns the engine of a VM; throws if there is none. */
    get(vm: string): FakeEngine {
        const engine = this.engines.get(vm);
        if (!engine) {
            throw new Error(`No engine on ${vm}.`);
        }
        return engine;
    }

    /** Returns the engine of a VM, or undefined if there is none. */
    lookUp(vm: string): FakeEngine | undefined {
        return this.engines.get(vm);
    }

    /** Returns all engines in the order in which they were added. */
    all(): FakeEngine[] {
        return [...this.engines.values()];
    }

    /** Restarts an engine: it gets a new boot id, holds no model and has forgotten the highest fencing token. */
    restart(vm: string): void {
        const engine = this.get(vm);
        engine.bootId = this.nextBootId();
        engine.highestFence = 0;
        engine.held = undefined;
        engine.runningRequests = 0;
        engine.lastEmptyAtMs = this.clock.monotonicMs();
    }

    /** Applies the orders that were held back, oldest first, and returns their number. */
    deliver(vm: string): number {
        const engine = this.get(vm);
        const orders = engine.delayedOrders.splice(0);
        orders.forEach(order => this.applyOrder(engine, order));
        return orders.length;
    }

    /** Returns the report of the engine at `url`; undefined after `timeoutMs` if it is not reachable. */
    async report(url: string, timeoutMs: number): Promise<MemberReport | undefined> {
        this.calls.report += 1;
        const engine = this.find(url);
        if (!engine?.reachable) {
            await this.clock.sleep(timeoutMs);
            return undefined;
        }
        return this.reportOf(engine);
    }

    /** Sends an order to the engine at `url`; its outcome is unknown if the engine is not reachable. */
    async order(url: string, order: EngineOrder, timeoutMs: number): Promise<OrderOutcome> {
        this.calls.order += 1;
        const engine = this.find(url);
        if (!engine?.reachable) {
            await this.clock.sleep(timeoutMs);
            return { kind: "unknown" };
        }
        if (engine.delaysOrders) {
            engine.delayedOrders.push(order);
            await this.clock.sleep(timeoutMs);
            return { kind: "unknown" };
        }
        const outcome = this.applyOrder(engine, order);
        return engine.losesResponses ? { kind: "unknown" } : outcome;
    }

    private applyOrder(engine: FakeEngine, order: EngineOrder): OrderOutcome {
        if (engine.obeysFencing && order.fence < engine.highestFence) {
            return { kind: "stale", highestFence: engine.highestFence };
        }
        engine.highestFence = Math.max(engine.highestFence, order.fence);
        engine.appliedOrders.push(order);
        if (order.kind === "unload") {
            engine.held = undefined;
            engine.lastEmptyAtMs = this.clock.monotonicMs();
            return { kind: "accepted" };
        }
        const { held } = engine;
        const keepsWeights = held !== undefined && held.group === order.group
            && held.modelVersion === order.modelVersion && held.rank === order.rank;
        if (!keepsWeights) {
            engine.readyAtMs = this.clock.monotonicMs() + this.loadMs;
        }
        engine.held = order;
        return { kind: "accepted" };
    }

    private reportOf(engine: FakeEngine): MemberReport {
        const { held } = engine;
        const phase = this.clock.monotonicMs() >= engine.readyAtMs ? "ready" : "loading";
        return {
            vm: engine.record.name,
            bootId: engine.bootId,
            group: held?.group ?? "",
            epoch: held?.fence ?? 0,
            modelVersion: held?.modelVersion ?? "",
            rank: held?.rank ?? 0,
            phase: held ? phase : "empty",
            runningRequests: engine.runningRequests,
            waitingRequests: 0,
        };
    }

    private find(url: string): FakeEngine | undefined {
        return this.all().find(engine => engineUrl(engine.record) === url);
    }

    private nextBootId(): string {
        this.bootCount += 1;
        return `boot-${this.bootCount}`;
    }
}

import type { EngineOrder, MemberReport } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import { Agent, request } from "undici";

type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

/** A head's look at the other members of its group, repeated until stopped. */
export class MemberCheck {
    private readonly agent: Agent;
    private present: readonly string[] | undefined;
    private stopped = new AbortController();

    private constructor(
        private readonly clock: Clock,
        private readonly intervalMs: number,
        private readonly timeoutMs: number,
        private readonly onChange: (bootIds: readonly string[] | undefined) => void,
        localAddress: string,
    ) {
        this.agent = new Agent({ connect: { localAddress }, connections: 2, pipelining: 1 });
    }

    /** Creates a check that watches nobody; `onChange` gets the members' boot ids, or undefined when one is missing. */
    static create(options: {
        clock: Clock;
        intervalMs: number;
        timeoutMs: number;
        localAddress: string;
        onChange: (bootIds: readonly string[] | undefined) => void;
    }): MemberCheck {
        const { clock, intervalMs, timeoutMs, onChange, localAddress } = options;
        return new MemberCheck(clock, intervalMs, timeoutMs, onChange, localAddress);
    }

    /** True while every other member was there at the last look. */
    get allPresent(): boolean {
        return this.present !== undefined;
    }

    /** Watches the members that `order` names; undefined: nobody. */
    watch(order: LoadOrder | undefined): void {
        this.stopped.abort();
        this.stopped = new AbortController();
        this.update(undefined);
        if (order && order.rank === 0) {
            void this.run(order, this.stopped.signal);
        }
    }

    /** Stops for good. */
    async close(): Promise<void> {
        this.stopped.abort();
        await this.agent.destroy();
    }

    private async run(order: LoadOrder, signal: AbortSignal): Promise<void> {
        const others = order.memberUrls.map((url, rank) => ({ url, rank })).filter(member => member.rank !== 0);
        while (!signal.aborted) {
            const reports = await Promise.all(others.map(member => this.look(member.url, member.rank, order)));
            if (signal.aborted) {
                return;
            }
            const bootIds = reports.filter(bootId => bootId !== undefined);
            this.update(bootIds.length === others.length ? bootIds : undefined);
            await this.clock.sleep(this.intervalMs, signal);
        }
    }

    /** The boot id of a member that is ready at its place; undefined otherwise. */
    private async look(url: string, rank: number, order: LoadOrder): Promise<string | undefined> {
        try {
            const response = await request(`${url}/v1/report`, {
                dispatcher: this.agent,
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            const report = (await response.body.json()) as MemberReport;
            const isInPlace = report.group === order.group && report.epoch === order.fence && report.rank === rank;
            return isInPlace && report.phase === "ready" ? report.bootId : undefined;
        }
        catch {
            return undefined;
        }
    }

    private update(bootIds: readonly string[] | undefined): void {
        const changed = bootIds?.join() !== this.present?.join() || (bootIds === undefined) !== !this.allPresent;
        this.present = bootIds;
        if (changed) {
            this.onChange(bootIds);
        }
    }
}

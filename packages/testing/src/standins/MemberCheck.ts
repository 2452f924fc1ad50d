import type { EngineOrder, MemberReport } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import { Agent, request } from "undici";

type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

/** Probes the other members of a head's group at an interval. */
export class MemberCheck {
    private readonly agent: Agent;
    private presentBootIds: readonly string[] | undefined;
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

    /**
     * Creates a check that probes no members yet. `onChange` receives the members' boot ids, or undefined when a
     * member is missing.
     */
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

    /** True while every other member was ready at the last probe. */
    get allPresent(): boolean {
        return this.presentBootIds !== undefined;
    }

    /** Probes the members that `order` names from now on; with undefined, or on another rank than 0, none. */
    probeMembers(order: LoadOrder | undefined): void {
        this.stopped.abort();
        this.stopped = new AbortController();
        this.update(undefined);
        if (order && order.rank === 0) {
            void this.run(order, this.stopped.signal);
        }
    }

    /** Stops probing and closes the connections. */
    async close(): Promise<void> {
        this.stopped.abort();
        await this.agent.destroy();
    }

    private async run(order: LoadOrder, signal: AbortSignal): Promise<void> {
        const others = order.memberUrls.map((url, rank) => ({ url, rank })).filter(member => member.rank !== 0);
        while (!signal.aborted) {
            const reports = await Promise.all(others.map(member => this.probe(member.url, member.rank, order)));
            if (signal.aborted) {
                return;
            }
            const bootIds = reports.filter(bootId => bootId !== undefined);
            this.update(bootIds.length === others.length ? bootIds : undefined);
            await this.clock.sleep(this.intervalMs, signal);
        }
    }

    /** Returns the member's boot id if it is ready with the order's group, epoch and rank; otherwise undefined. */
    private async probe(url: string, rank: number, order: LoadOrder): Promise<string | undefined> {
        try {
            const response = await request(`${url}/v1/report`, {
                dispatcher: this.agent,
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            const report = (await response.body.json()) as MemberReport;
            const isExpectedMember = report.group === order.group && report.epoch === order.fence
                && report.rank === rank;
            return isExpectedMember && report.phase === "ready" ? report.bootId : undefined;
        }
        catch {
            return undefined;
        }
    }

    private update(bootIds: readonly string[] | undefined): void {
        const changed = bootIds?.join() !== this.presentBootIds?.join() || (bootIds === undefined) !== !this.allPresent;
        this.presentBootIds = bootIds;
        if (changed) {
            this.onChange(bootIds);
        }
    }
}

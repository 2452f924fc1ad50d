import type { EngineOrder, MemberReport } from "@fescuehaven/coordination";

type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

/** What following an order comes to. */
type RoleChange =
    | { kind: "stale"; highestFence: number; }
    /** Nothing to do: the order is already followed. */
    | { kind: "unchanged"; }
    /** The weights are there already; only the fencing number and the members changed. */
    | { kind: "refenced"; }
    /** The weights have to be loaded. */
    | { kind: "load"; order: LoadOrder; }
    | { kind: "emptied"; };

/** The part that an engine plays: the order that it follows and how far it has come. */
export class EngineRole {
    private order: LoadOrder | undefined;
    private loaded = false;
    private highest = 0;

    private constructor(private readonly keepsWeights: boolean) {}

    /** Creates the role of an engine that holds no model; `keepsWeights`: a new fencing number alone loads nothing. */
    static create(keepsWeights: boolean): EngineRole {
        return new EngineRole(keepsWeights);
    }

    /** The order followed, or undefined when empty. */
    get current(): LoadOrder | undefined {
        return this.order;
    }

    /** True when the weights of the current order are loaded. */
    get ready(): boolean {
        return this.order !== undefined && this.loaded;
    }

    /** Takes an order; with `obeyFencing` one with a fencing number below the highest seen is refused. */
    take(order: EngineOrder, obeyFencing: boolean): RoleChange {
        if (obeyFencing && order.fence < this.highest) {
            return { kind: "stale", highestFence: this.highest };
        }
        this.highest = Math.max(this.highest, order.fence);
        if (order.kind === "unload") {
            this.order = undefined;
            this.loaded = false;
            return { kind: "emptied" };
        }
        const before = this.order;
        this.order = order;
        if (before && JSON.stringify(before) === JSON.stringify(order)) {
            return { kind: "unchanged" };
        }
        if (before && this.keepsWeights && holdsSameWeights(before, order)) {
            return { kind: "refenced" };
        }
        this.loaded = false;
        return { kind: "load", order };
    }

    /** Notes that the weights are loaded. */
    finishLoading(): void {
        this.loaded = true;
    }

    /** The role as a report states it. */
    describe(): Pick<MemberReport, "group" | "epoch" | "modelVersion" | "rank" | "phase"> {
        if (!this.order) {
            return { group: "", epoch: 0, modelVersion: "", rank: 0, phase: "empty" };
        }
        const { group, fence, modelVersion, rank } = this.order;
        return { group, epoch: fence, modelVersion, rank, phase: this.loaded ? "ready" : "loading" };
    }
}

function holdsSameWeights(before: LoadOrder, order: LoadOrder): boolean {
    return before.group === order.group
        && before.modelVersion === order.modelVersion
        && before.weightsGiB === order.weightsGiB
        && before.rank === order.rank
        && before.memberUrls.length === order.memberUrls.length;
}

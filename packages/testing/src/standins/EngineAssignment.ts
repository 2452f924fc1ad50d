import type { EngineOrder, MemberReport } from "@fescuehaven/coordination";

type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

/** What the engine has to do to follow an order. */
type OrderEffect =
    /** The order's fencing token is below the highest one seen, so the order is refused. */
    | { kind: "stale"; highestFence: number; }
    /** The engine already follows the same order. */
    | { kind: "unchanged"; }
    /** The weights stay the same; only the fencing token and the members changed. */
    | { kind: "fence-changed"; }
    /** The weights have to be loaded. */
    | { kind: "load"; order: LoadOrder; }
    | { kind: "emptied"; };

/** The order that an engine follows, and whether its weights are loaded. */
export class EngineAssignment {
    private order: LoadOrder | undefined;
    private loaded = false;
    private highestFence = 0;

    private constructor(private readonly keepsWeights: boolean) {}

    /**
     * Creates the assignment of an engine that holds no model. With `keepsWeights`, an order that changes only the
     * fencing token and the members doesn't load the weights again.
     */
    static create(keepsWeights: boolean): EngineAssignment {
        return new EngineAssignment(keepsWeights);
    }

    /** The load order that the engine follows, or undefined when it holds no model. */
    get currentOrder(): LoadOrder | undefined {
        return this.order;
    }

    /** True when the weights of the current order are loaded. */
    get isReady(): boolean {
        return this.order !== undefined && this.loaded;
    }

    /** Applies an order; with `obeyFencing`, refuses one whose fencing token is below the highest one seen. */
    apply(order: EngineOrder, obeyFencing: boolean): OrderEffect {
        if (obeyFencing && order.fence < this.highestFence) {
            return { kind: "stale", highestFence: this.highestFence };
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        if (order.kind === "unload") {
            this.order = undefined;
            this.loaded = false;
            return { kind: "emptied" };
        }
        const previous = this.order;
        this.order = order;
        if (previous && JSON.stringify(previous) === JSON.stringify(order)) {
            return { kind: "unchanged" };
        }
        if (previous && this.keepsWeights && holdsSameWeights(previous, order)) {
            return { kind: "fence-changed" };
        }
        this.loaded = false;
        return { kind: "load", order };
    }

    /** Records that the weights are loaded. */
    finishLoading(): void {
        this.loaded = true;
    }

    /** Returns the assignment in the form of a report. */
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

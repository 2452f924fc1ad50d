import type { Clock } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { FailureRateTracker } from "./FailureRateTracker.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import type { LoadTracker } from "./LoadTracker.js";

/** What a `GroupDirectory` is made of. */
interface GroupDirectoryOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    failureRates: FailureRateTracker;
    /** True if operators have taken the zone out. */
    isEvacuated: (zone: string) => boolean;
}

/** Upstreams by their groups, as of a version of the directory. */
interface GroupedUpstreams {
    version: number;
    members: readonly Upstream[];
    heads: readonly Upstream[];
}

/**
 * A group that was found lost is left out for this long, ms. By then it has been formed anew with a higher epoch, or its
 * head has given it up, or the finding was wrong: one that was cut off and is open still serves.
 */
const LOST_MS = 8000;

/** Groups that take requests, read from what their heads say. */
export class GroupDirectory {
    /** Groups that were found lost, and when, monotonic ms. */
    private readonly lostEpochs = new Map<number, number>();
    private grouped: GroupedUpstreams = { version: -1, members: [], heads: [] };

    private constructor(private readonly options: GroupDirectoryOptions) {}

    /** Creates the directory. */
    static create(options: GroupDirectoryOptions): GroupDirectory {
        return new GroupDirectory(options);
    }

    /** Leaves a group out that was found lost, whatever its head says; its requests go elsewhere. */
    markLost(epoch: number): boolean {
        const isNew = !this.isLost(epoch);
        this.lostEpochs.set(epoch, this.options.clock.monotonicMs());
        return isNew;
    }

    /** True if the group was found lost. */
    isLost(epoch: number): boolean {
        const lostAtMs = this.lostEpochs.get(epoch) ?? -Infinity;
        return this.options.clock.monotonicMs() - lostAtMs < LOST_MS;
    }

    /** Groups of a service that take requests for a model. */
    candidates(service: string, engine: EngineProfile, modelName: string | undefined): GroupCandidate[] {
        const model = engine.models.find(item => item.name === modelName);
        if (!model) {
            return [];
        }
        return this.openGroups(service, modelName).map(({ head, name, epoch }) => ({
            name,
            epoch,
            model,
            head,
            load: this.options.loads.totalLoad(String(epoch)),
            meanPauseMs: this.options.loads.meanPauseMs(String(epoch)),
            failureRate: this.options.failureRates.failureRate(head.id),
        }));
    }

    /** True if a group takes requests for the model. */
    hasOpen(service: string, engine: EngineProfile, modelName: string | undefined): boolean {
        return engine.models.some(item => item.name === modelName) && this.openGroups(service, modelName).length > 0;
    }

    /** True if a group of the model is being formed. */
    isForming(service: string, modelName: string | undefined): boolean {
        return this.current().members.some(({ service: ofService, model, group }) =>
            ofService === service && group?.phase !== "open" && group?.phase !== "broken"
            && (!model || model === modelName)
        );
    }

    /** Upstreams in groups, and heads that take requests, looked up again only after a change. */
    private current(): GroupedUpstreams {
        const { upstreams } = this.options;
        if (this.grouped.version !== upstreams.version) {
            const members = [...upstreams.all()].filter(upstream => upstream.group !== undefined);
            const heads = members.filter(({ group, state }) =>
                group?.rank === 0 && group.phase === "open" && state === "ready"
            );
            this.grouped = { version: upstreams.version, members, heads };
        }
        return this.grouped;
    }

    private openGroups(
        service: string,
        modelName: string | undefined,
    ): Array<{ head: Upstream; name: string; epoch: number; }> {
        const open: Array<{ head: Upstream; name: string; epoch: number; }> = [];
        for (const head of this.current().heads) {
            const { group } = head;
            const isAsked = head.service === service && head.model === modelName;
            if (group && isAsked && !this.isLost(group.epoch) && !this.options.isEvacuated(head.zone)) {
                open.push({ head, name: group.name, epoch: group.epoch });
            }
        }
        return open;
    }
}

import type { Clock } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { FailureRateTracker } from "./FailureRateTracker.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import type { LoadTracker } from "./LoadTracker.js";

interface GroupDirectoryOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    failureRates: FailureRateTracker;
    /** Returns true if operators have evacuated the zone. */
    isEvacuated: (zone: string) => boolean;
}

/** Members of groups and open groups' heads, as of one version of the upstream directory. */
interface GroupedUpstreams {
    version: number;
    members: readonly Upstream[];
    heads: readonly Upstream[];
}

/**
 * Time for which a group that was found lost gets no requests. By then it has been re-formed with a higher epoch, or
 * its head has given it up, or it was not lost: a group that was partitioned and is still open serves again.
 */
const LOST_GROUP_EXCLUSION_MS = 8000;

/** Lists the groups that accept requests, based on the registrations of their heads. */
export class GroupDirectory {
    /** Epochs of groups that were found lost, with the time on the monotonic clock. */
    private readonly lostEpochs = new Map<number, number>();
    private grouped: GroupedUpstreams = { version: -1, members: [], heads: [] };

    private constructor(private readonly options: GroupDirectoryOptions) {}

    /** Creates a directory without lost groups. */
    static create(options: GroupDirectoryOptions): GroupDirectory {
        return new GroupDirectory(options);
    }

    /** Excludes a group that was found lost, whatever its head reports. Returns false if it was excluded already. */
    markLost(epoch: number): boolean {
        const isNew = !this.isLost(epoch);
        if (isNew) {
            [...this.lostEpochs.keys()].filter(other => !this.isLost(other)).forEach(other =>
                this.lostEpochs.delete(other)
            );
        }
        this.lostEpochs.set(epoch, this.options.clock.monotonicMs());
        return isNew;
    }

    /** Number of recorded groups that were found lost. */
    get lostGroupCount(): number {
        return this.lostEpochs.size;
    }

    /** Returns true if the group was found lost recently. */
    isLost(epoch: number): boolean {
        const lostAtMs = this.lostEpochs.get(epoch) ?? -Infinity;
        return this.options.clock.monotonicMs() - lostAtMs < LOST_GROUP_EXCLUSION_MS;
    }

    /** Returns the groups of a service that accept requests for a model. */
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
            peakTokensWith: engine.kvCacheTokens === undefined
                ? undefined
                : added => this.options.loads.peakTokensWith(String(epoch), added),
            meanPauseMs: this.options.loads.meanPauseMs(String(epoch)),
            failureRate: this.options.failureRates.failureRate(head.id),
        }));
    }

    /** Returns the heads of the groups that accept requests for the model. */
    openHeads(service: string, engine: EngineProfile, modelName: string | undefined): Upstream[] {
        return engine.models.some(item => item.name === modelName)
            ? this.openGroups(service, modelName).map(({ head }) => head)
            : [];
    }

    /** Returns true if the head's registration shows that it no longer works on requests that it got in the group. */
    hasLeft(head: Upstream, epoch: number): boolean {
        const current = this.options.upstreams.get(head.id);
        return current !== undefined && (current.startedAtMs !== head.startedAtMs || current.group?.epoch !== epoch);
    }

    /** Returns true if a group of the model is being formed. */
    isForming(service: string, modelName: string | undefined): boolean {
        return this.current().members.some(({ service: ofService, model, group }) =>
            ofService === service && group?.phase !== "open" && group?.phase !== "broken"
            && (!model || model === modelName)
        );
    }

    /** Returns members and heads, computed again only if the upstream directory has changed. */
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
            const isRequested = head.service === service && head.model === modelName;
            if (group && isRequested && !this.isLost(group.epoch) && !this.options.isEvacuated(head.zone)) {
                open.push({ head, name: group.name, epoch: group.epoch });
            }
        }
        return open;
    }
}

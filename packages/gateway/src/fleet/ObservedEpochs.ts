import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { EPOCHS_PER_TERM } from "./epochsPerTerm.js";
import { termOf } from "./termOf.js";

interface ObservedEpochsOptions {
    log: DecisionLog;
    configuration: ActiveConfiguration;
    upstreams: UpstreamDirectory;
    /** Returns the highest term that the lease or peers have shown. */
    knownTerm: () => number;
}

/** What a computed epoch depends on. */
interface Inputs {
    directoryVersion: number;
    configurationVersion: number | undefined;
    knownTerm: number;
}

/**
 * Number of terms by which upstreams may be ahead of the lease, which a store that was restored from an older copy has
 * lost. The epochs of a registration that is further ahead are not this fleet's.
 */
const MAX_TERM_LEAD = 1000;

/**
 * The epochs that registered upstreams show. Registrations of other writers do not count: a term is never taken back, so
 * that a single wrong epoch would use up the range of terms.
 */
export class ObservedEpochs {
    private cached: { inputs: Inputs; epoch: number; } | undefined;
    /** Upstreams whose epochs have been logged as ignored. */
    private readonly ignored = new Set<string>();

    private constructor(private readonly options: ObservedEpochsOptions) {}

    /** Creates an instance. */
    static create(options: ObservedEpochsOptions): ObservedEpochs {
        return new ObservedEpochs(options);
    }

    /** Highest epoch of a group to which an engine of a configured service belongs; 0 if there is none. */
    get highest(): number {
        const { configuration, upstreams, knownTerm } = this.options;
        const inputs: Inputs = {
            directoryVersion: upstreams.version,
            configurationVersion: configuration.current?.version,
            knownTerm: knownTerm(),
        };
        if (!this.cached || !isSame(this.cached.inputs, inputs)) {
            this.cached = { inputs, epoch: this.computeHighest(inputs.knownTerm) };
        }
        return this.cached.epoch;
    }

    /** Highest term in which an engine of a configured service has joined its group; 0 if there is none. */
    get highestTerm(): number {
        return termOf(this.highest);
    }

    private computeHighest(knownTerm: number): number {
        const { configuration, upstreams } = this.options;
        const maxEpoch = (knownTerm + MAX_TERM_LEAD + 1) * EPOCHS_PER_TERM - 1;
        let highest = 0;
        for (const upstream of upstreams.all()) {
            const epoch = upstream.group?.epoch ?? 0;
            if (epoch <= highest || !configuration.current?.services.get(upstream.service)?.engine) {
                continue;
            }
            if (epoch > maxEpoch) {
                this.logIgnored(upstream, epoch, knownTerm);
                continue;
            }
            highest = epoch;
        }
        this.ignored.forEach(id => upstreams.get(id) || this.ignored.delete(id));
        return highest;
    }

    private logIgnored({ id }: Upstream, epoch: number, knownTerm: number): void {
        if (!this.ignored.has(id)) {
            this.ignored.add(id);
            this.options.log.warn("epoch of a registration is far ahead of the lease", {
                upstream: id,
                epoch,
                term: knownTerm,
            });
        }
    }
}

function isSame(left: Inputs, right: Inputs): boolean {
    return left.directoryVersion === right.directoryVersion && left.knownTerm === right.knownTerm
        && left.configurationVersion === right.configurationVersion;
}

import type { Route } from "@fescuehaven/resources";
import type { Random } from "@fescuehaven/runtime";

type ModelTarget = Extract<Route["target"], { kind: "model"; }>;

interface VersionPickerOptions {
    random: Random;
    /** Returns true when the version can be served in this router's availability zone. */
    isServed: (modelVersion: string) => boolean;
}

/** Chooses the model version of a call by the weights of its route. */
export class VersionPicker {
    private constructor(private readonly options: VersionPickerOptions) {}

    /** Creates a picker. */
    static create(options: VersionPickerOptions): VersionPicker {
        return new VersionPicker(options);
    }

    /** Picks a version by weight, among those served in this zone if any is. Undefined when all weights are 0. */
    pick(target: ModelTarget): string | undefined {
        const weighted = target.versions.filter(version => version.weight > 0);
        const served = weighted.filter(version => this.options.isServed(version.modelVersion));
        return this.pickByWeight(served.length > 0 ? served : weighted);
    }

    private pickByWeight(versions: ModelTarget["versions"]): string | undefined {
        const total = versions.reduce((sum, version) => sum + version.weight, 0);
        let remaining = this.options.random.next() * total;
        for (const version of versions) {
            remaining -= version.weight;
            if (remaining < 0) {
                return version.modelVersion;
            }
        }
        return versions.at(-1)?.modelVersion;
    }
}

import type { ModelProfile } from "../model/ModelProfile.js";

/** Returns how the names of a model's groups end. */
export function groupSuffix(model: ModelProfile): string {
    return `.${model.name}`;
}

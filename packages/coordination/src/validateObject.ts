import type { StoredObject } from "@fescuehaven/platform";
import { type ResourceKind, resourceSchemas } from "@fescuehaven/resources";
import { describeSchemaErrors } from "@fescuehaven/runtime";
import type { ValidationOutcome } from "./ValidationOutcome.js";

/** Validates an object of one of `kinds` against its schema; a refusal lists the path and cause of every error. */
export function validateObject(object: StoredObject, kinds: readonly ResourceKind[]): ValidationOutcome {
    const kind = kinds.find(known => known === object.kind);
    if (!kind) {
        return { kind: "refused", reason: "kind: not a kind of configuration" };
    }
    const parsed = resourceSchemas[kind].safeParse(object.value);
    if (!parsed.success) {
        const errors = describeSchemaErrors(parsed.error).map(error => `${error.path}: ${error.expected}`);
        return { kind: "refused", reason: errors.join("; ") };
    }
    const { name, revision } = object;
    return { kind: "valid", object: { kind, name, revision, value: parsed.data } };
}

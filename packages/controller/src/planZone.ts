import { LedgerDraft } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import type { ServingGroup, ZoneLedger } from "@fescuehaven/resources";
import { GroupPlanner } from "./GroupPlanner.js";
import type { PlanInput } from "./PlanInput.js";

/** Plans the next change of a zone's claims. Returns undefined if no change is needed. */
export function planZone(input: PlanInput): ZoneLedger | undefined {
    const draft = LedgerDraft.create(input.ledger);
    freeUnloadedVms(input, draft);
    reissueStaleReleases(input, draft);
    releaseDeletedGroups(input, draft);
    for (const spec of fewestMissingFirst(input)) {
        GroupPlanner.create({ input, draft, group: spec.name, spec: spec.value }).plan();
    }
    return draft.changed ? draft.ledger : undefined;
}

function freeUnloadedVms(input: PlanInput, draft: LedgerDraft): void {
    for (const [vm, claim] of Object.entries(input.ledger.claims)) {
        const canFree = input.isUnloaded(vm, claim.epoch) || input.fleet.get(vm).vanished;
        if (claim.state === "releasing" && canFree) {
            draft.free(vm);
        }
    }
}

/** Repeats releases that an engine refused as stale, with an epoch above the highest fencing token it has seen. */
function reissueStaleReleases(input: PlanInput, draft: LedgerDraft): void {
    for (const [vm, claim] of Object.entries(draft.ledger.claims)) {
        if (claim.state === "releasing" && input.highestFence(vm) > claim.epoch) {
            draft.raiseEpoch(input.highestFence(vm));
            claim.state = "held";
            draft.release(vm);
        }
    }
}

function releaseDeletedGroups(input: PlanInput, draft: LedgerDraft): void {
    const wanted = new Set(input.specs.map(spec => spec.name));
    for (const group of Object.keys(input.ledger.groups).filter(name => !wanted.has(name))) {
        draft.abandonNext(group);
        draft.ledger.groups[group]?.members.forEach(vm => draft.release(vm));
        const hasClaims = Object.values(draft.ledger.claims).some(claim => claim.group === group);
        if (!hasClaims) {
            draft.removeGroup(group);
        }
    }
}

/** Sorts groups that lack the fewest members first, so that spares go where they make a group complete again. */
function fewestMissingFirst(input: PlanInput): Array<StoredObject<ServingGroup>> {
    const missing = (spec: StoredObject<ServingGroup>): number => {
        const members = input.ledger.groups[spec.name]?.members ?? [];
        return spec.value.memberCount - members.filter(vm => vm !== "" && !input.fleet.get(vm).unresponsive).length;
    };
    return [...input.specs].sort((left, right) => missing(left) - missing(right));
}

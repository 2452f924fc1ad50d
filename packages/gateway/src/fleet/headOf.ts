import type { Upstream } from "../model/Upstream.js";
import type { ManagedGroup } from "./ManagedGroup.js";

/** Returns the head of a group, or undefined if it was not registered when the group was adopted. */
export function headOf({ members, isHeadMissing }: ManagedGroup): Upstream | undefined {
    return isHeadMissing ? undefined : members[0];
}

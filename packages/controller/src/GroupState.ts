import type { GroupStatus } from "@fescuehaven/resources";

/** A group's status without its history. A change of it is recorded as a transition. */
export type GroupState = Omit<GroupStatus, "since" | "transitions">;

import type { GroupStatus } from "@fescuehaven/resources";

/** The part of a group's status that says what it is; a change of it is a transition. */
export type GroupState = Omit<GroupStatus, "since" | "transitions">;

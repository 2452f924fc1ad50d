import type { GroupOrder } from "../ports/GroupOrder.js";

/** An order that changes the group to which an upstream belongs. */
export type MembershipOrder = GroupOrder & { kind: "join" | "leave"; };

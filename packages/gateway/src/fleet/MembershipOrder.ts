import type { GroupOrder } from "../ports/GroupOrder.js";

/** An order that changes the group to which an upstream belongs, or takes it back from open to ready. */
export type MembershipOrder = GroupOrder & { kind: "join" | "leave" | "close"; };

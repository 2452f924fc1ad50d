/** What a response says about the requests that its upstream takes from all gateways together. */
export type LimitAnnouncement =
    | { kind: "limited"; requestsPerSecond: number; }
    /** The value is not a decimal number. */
    | { kind: "unreadable"; text: string; };

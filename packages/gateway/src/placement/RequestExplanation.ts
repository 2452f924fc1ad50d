/** An upstream that a request could go to, and what speaks against it. */
interface ExplainedCandidate {
    upstream: string;
    zone: string;
    group?: { name: string; epoch: number; };
    /** Requests in flight and prompt tokens not yet prefilled, as this gateway knows them. */
    inFlight: number;
    unreadTokens: number;
    /** Predicted time until the first event; absent if the upstream cannot take the request. */
    predictedMs?: number;
    /** What is compared; lower is better. */
    cost?: number;
    /** Share of equal requests that would go to it now. */
    chance: number;
    /** Why it gets none, or fewer than others; absent for the one that gets most. */
    against?: string;
}

/** Where a request would go. */
interface ExplainedService {
    service: string;
    /** Weight in the route's traffic split. */
    weight: number;
    /** Last decision on leaving the zone, with its age; absent where the choice is made over all zones. */
    spillover?: { share: number; targets: Record<string, number>; reason: string; ageMs: number; };
    candidates: ExplainedCandidate[];
}

/** Where a request would go now, and why; nothing was sent, reserved or counted for it. */
export type RequestExplanation =
    | { kind: "unconfigured" | "no-route" | "too-many-questions"; }
    | {
        kind: "explained";
        zone: string;
        gateways: number;
        route: string;
        configurationVersion: number;
        configurationAgeMs: number;
        /** Age of the view of the upstreams. */
        viewAgeMs: number;
        services: ExplainedService[];
    };

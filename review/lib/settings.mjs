export const HOST = "reports.example";

/** Models of a small deployment; loads are short so that a case fits into its time. */
export const models = [{ name: "m0", size: 3, share: 1, pace: 1, loadTimeS: 0.5, warmS: 0.3 }];

/** A configuration like that of a small deployment: one streaming route and one unsafe route. */
export const configuration = {
    version: 7,
    routes: [
        {
            name: "reports",
            host: HOST,
            pathPrefix: "/reports/",
            kind: "streaming",
            timeoutMs: 6000,
            targetLatencyMs: 250,
            targetGapMs: 200,
            priority: 1,
            service: "llm",
            maxAttempts: 2,
            public: false,
            stickySessions: true,
            resumeStreams: true,
        },
        {
            name: "bookings",
            host: HOST,
            pathPrefix: "/bookings/",
            kind: "unsafe",
            timeoutMs: 4000,
            targetLatencyMs: 386,
            priority: 2,
            service: "app",
            maxAttempts: 2,
            public: false,
        },
    ],
    services: [
        {
            name: "llm",
            healthCheckPath: "/health",
            connectionLimit: 264,
            coldPerS: 0,
            engine: {
                slots: 18,
                models,
                stride: 6,
                step_ms: 6.45,
                per_seq_ms: 0.14,
                context_per_k: 0.004,
                read_per_s: 56_100,
                chunk: 2048,
                usual: { prompt: 1115, answer: 152 },
                loadsPerS: 8,
                loads_at_once: 8,
                formationMs: 300,
            },
        },
        { name: "app", healthCheckPath: "/health", connectionLimit: 48, coldPerS: 0 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/** What a client sends to the streaming route. */
export const streamCall = {
    hostName: HOST,
    path: "/reports/x",
    deadlineMs: 6000,
    headers: { "x-fescuehaven-model": "m0", "x-fescuehaven-token-usage": "700,60" },
    body: "{}",
};

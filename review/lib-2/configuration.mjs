/** Configuration of a small deployment with one plain service whose requests may run once at most. */
export const configuration = {
    version: 1,
    routes: [
        {
            name: "once",
            host: "a.example",
            pathPrefix: "/once/",
            kind: "unsafe",
            timeoutMs: 4000,
            targetLatencyMs: 400,
            priority: 1,
            service: "app",
            maxAttempts: 2,
        },
    ],
    services: [{ name: "app", connectionLimit: 96, coldPerS: 0 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
};

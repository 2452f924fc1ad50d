/** Configuration of a small deployment with one engine service and one plain service. */
export function configuration(
    { version = 1, models, engine = {}, routes = [], plainRoutes = [], limits = {}, tenants },
) {
    const common = { host: "a.example", timeoutMs: 4000, targetLatencyMs: 400, priority: 1 };
    return {
        version,
        routes: [
            {
                ...common,
                name: "stream",
                pathPrefix: "/stream/",
                kind: "streaming",
                targetGapMs: 300,
                service: "llm",
                maxAttempts: 2,
                resumeStreams: true,
            },
            { ...common, name: "once", pathPrefix: "/once/", kind: "unsafe", service: "app", maxAttempts: 2 },
            { ...common, name: "safe", pathPrefix: "/safe/", kind: "safe", service: "app", maxAttempts: 2 },
            ...routes,
        ],
        services: [
            {
                name: "llm",
                connectionLimit: 200,
                coldPerS: 36,
                engine: {
                    slots: 8,
                    kvCacheTokens: 1_710_000,
                    models,
                    stride: 6,
                    step_ms: 6.45,
                    per_seq_ms: 0.2,
                    context_per_k: 0.1,
                    read_per_s: 56_100,
                    pairs_per_m: 0.1,
                    chunk: 2048,
                    usual: { prompt: 1000, answer: 120 },
                    loadsPerS: 5.5,
                    loads_at_once: 8,
                    formationMs: 200,
                    report_lag_ms: 200,
                    ...engine,
                },
            },
            { name: "app", connectionLimit: 96, coldPerS: 0 },
            ...plainRoutes,
        ],
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 4_194_304,
            headerTimeoutMs: 5000,
            idleTimeoutMs: 15_000,
            ...limits,
        },
        ...(tenants && { tenants }),
    };
}

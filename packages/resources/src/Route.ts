import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

const modelTargetSchema = z.strictObject({
    kind: z.literal("model"),
    /** Model that callers name. */
    model: resourceNameSchema,
    /** Model versions that share the traffic, by weight. */
    versions: z.array(z.strictObject({
        modelVersion: resourceNameSchema,
        weight: z.number().int().min(0).max(100),
    })).min(1),
});

const serviceTargetSchema = z.strictObject({
    kind: z.literal("service"),
    /** Name of the service object. */
    service: resourceNameSchema,
    /** Path at the service's endpoints. */
    path: z.string().startsWith("/"),
    /** If false, a call runs at most once, and callers have to send an idempotency key. */
    repeatable: z.boolean(),
});

/** Schema of a route: where calls of one kind are sent. Its name is the last part of a service call's path. */
export const routeSchema = z.strictObject({
    target: z.discriminatedUnion("kind", [modelTargetSchema, serviceTargetSchema]),
    /** Longest time that a call may take. */
    timeoutMs: z.number().int().min(10).max(3_600_000),
});

/** A route: the model or service to which calls of one kind are sent. */
export type Route = z.infer<typeof routeSchema>;

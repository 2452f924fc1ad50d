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
    /** False: a call runs at most once, and callers give an idempotency key. */
    repeatable: z.boolean(),
});

/** Where calls of one kind go. The object's name is the last part of a service call's path. */
export const routeSchema = z.strictObject({
    target: z.discriminatedUnion("kind", [modelTargetSchema, serviceTargetSchema]),
    /** Longest time that a call may take, ms. */
    timeoutMs: z.number().int().min(10).max(3_600_000),
});

/** Where calls of one kind go. */
export type Route = z.infer<typeof routeSchema>;

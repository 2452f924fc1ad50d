import { z } from "zod";

const endpointSchema = z.strictObject({
    /** IP address. */
    host: z.union([z.ipv4(), z.ipv6()]),
    port: z.number().int().min(1).max(65_535),
});

const peerSchema = z.strictObject({
    /** Process name, unique in the system. */
    name: z.string().min(1),
    zone: z.string().min(1),
    role: z.enum(["router", "controller"]),
    /** Base URL of the peer's peer interface. */
    url: z.url(),
});

const tlsSchema = z.strictObject({
    /** PEM file of this process's certificate, with intermediate ones. */
    certificateFile: z.string().min(1),
    /** PEM file of the certificate's private key. */
    keyFile: z.string().min(1),
    /** PEM file of the authorities whose certificates are trusted. */
    authorityFile: z.string().min(1),
});

/** Settings that every daemon has. */
export const daemonSettingsSchema = z.strictObject({
    /** Process name, unique in the system. */
    process: z.string().min(1).max(100),
    region: z.string().min(1),
    /** Availability zone that this process runs in. */
    zone: z.string().min(1),
    /** Address that outgoing connections come from. */
    localAddress: z.union([z.ipv4(), z.ipv6()]).optional(),
    /** Where other processes of the system reach this one. */
    peerListen: endpointSchema,
    /** Where health checks and, at routers, callers reach this one. */
    listen: endpointSchema,
    /** The other processes, as known at start. */
    peers: z.array(peerSchema),
    /** Peer ports on entry VMs that the platform lists and `peers` does not name; left out: only `peers` count. */
    entryVmPorts: z.strictObject({
        router: z.number().int().min(1).max(65_535),
        controller: z.number().int().min(1).max(65_535),
    }).optional(),
    platform: z.strictObject({
        /** Base URL of the platform's object API. */
        url: z.url(),
        /** Longest wait for an answer, ms. */
        timeoutMs: z.number().int().min(10).max(60_000).default(2000),
        /** Calls a second that this process allows itself. */
        callsPerSecond: z.number().min(0.1).max(2000).default(40),
    }),
    /** Certificates between the system's own processes; left out: no encryption, for loopback only. */
    peerTls: tlsSchema.optional(),
    logging: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
        format: z.enum(["text", "json"]).default("text"),
    }).default({ level: "info", format: "text" }),
    /** Where statsd metrics go; left out: nowhere. */
    metrics: z.strictObject({
        host: z.union([z.ipv4(), z.ipv6()]),
        port: z.number().int().min(1).max(65_535),
    }).optional(),
    /** Events that the time line ring keeps. */
    timelineEvents: z.number().int().min(100).max(1_000_000).default(20_000),
});

/** Settings that every daemon has. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

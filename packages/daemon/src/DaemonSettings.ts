import { z } from "zod";

const endpointSchema = z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()]).describe("IP address"),
    port: z.number().int().min(1).max(65_535),
});

const peerSchema = z.strictObject({
    name: z.string().min(1).describe("Process name, unique in the system"),
    zone: z.string().min(1),
    role: z.enum(["router", "controller"]),
    url: z.url().describe("Base URL of the peer's peer interface"),
});

const tlsSchema = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file of this process's certificate, with intermediate ones"),
    keyFile: z.string().min(1).describe("PEM file of the certificate's private key"),
    authorityFile: z.string().min(1).describe("PEM file of the authorities whose certificates are trusted"),
});

/** Settings that every daemon has. */
export const daemonSettingsSchema = z.strictObject({
    process: z.string().min(1).max(100).describe("Process name, unique in the system"),
    region: z.string().min(1).describe("Region that this process runs in"),
    zone: z.string().min(1).describe("Availability zone that this process runs in"),
    localAddress: z.union([z.ipv4(), z.ipv6()]).optional().describe("Address that outgoing connections come from"),
    peerListen: endpointSchema.describe("Where other processes of the system reach this one"),
    listen: endpointSchema.describe("Where health checks and, at routers, callers reach this one"),
    peers: z.array(peerSchema).describe("The other processes, as known at start"),
    entryVmPorts: z.strictObject({
        router: z.number().int().min(1).max(65_535),
        controller: z.number().int().min(1).max(65_535),
    }).optional().describe(
        "Peer ports on entry VMs that the platform lists and `peers` does not name; left out: only `peers` count",
    ),
    platform: z.strictObject({
        url: z.url().describe("Base URL of the platform's object API"),
        timeoutMs: z.number().int().min(10).max(60_000).default(2000).describe("Longest wait for a response, ms"),
        callsPerSecond: z.number().min(0.1).max(2000).default(40).describe(
            "Most platform calls per second that this process sends",
        ),
    }),
    peerTls: tlsSchema.optional().describe(
        "Certificates between the system's own processes; left out: no encryption, for loopback only",
    ),
    logging: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
        format: z.enum(["text", "json"]).default("text"),
    }).default({ level: "info", format: "text" }),
    metrics: z.strictObject({
        host: z.union([z.ipv4(), z.ipv6()]),
        port: z.number().int().min(1).max(65_535),
    }).optional().describe("Receiver of statsd metrics; left out: no metrics are sent"),
    timelineEvents: z.number().int().min(100).max(1_000_000).default(20_000).describe(
        "Number of newest timeline events that are kept",
    ),
});

/** Validated settings that every daemon has. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

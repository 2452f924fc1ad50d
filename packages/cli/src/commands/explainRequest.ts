import { z } from "zod";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { ExplanationReader } from "../ports/ExplanationReader.js";
import type { Output } from "../ports/Output.js";
import { renderTable } from "../util/renderTable.js";

type Question = Parameters<ExplanationReader["explain"]>[1];

interface ExplainOptions {
    reader: ExplanationReader;
    output: Output;
    /** Base URL of the gateway's metrics address. */
    gateway: string;
    question: Question;
    format: "table" | "json";
}

const candidateSchema = z.object({
    upstream: z.string(),
    zone: z.string(),
    group: z.object({ name: z.string(), epoch: z.number() }).optional(),
    inFlight: z.number(),
    unreadTokens: z.number(),
    predictedMs: z.number().optional(),
    cost: z.number().optional(),
    chance: z.number(),
    against: z.string().optional(),
});

const serviceSchema = z.object({
    service: z.string(),
    weight: z.number(),
    spillover: z.object({
        share: z.number(),
        targets: z.record(z.string(), z.number()),
        reason: z.string(),
        ageMs: z.number(),
    }).optional(),
    candidates: z.array(candidateSchema),
});

/** What a gateway answers; fields of newer builds are ignored. */
const explanationSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.enum(["unconfigured", "no-route", "too-many-questions"]) }),
    z.object({
        kind: z.literal("explained"),
        zone: z.string(),
        gateways: z.number(),
        route: z.string(),
        configurationVersion: z.number(),
        configurationAgeMs: z.number(),
        viewAgeMs: z.number(),
        services: z.array(serviceSchema),
    }),
]);

type Explained = Extract<z.infer<typeof explanationSchema>, { kind: "explained"; }>;
type ExplainedService = z.infer<typeof serviceSchema>;

const unanswered = {
    unconfigured: "The gateway has no configuration yet.",
    "no-route": "No route of the gateway's configuration matches the request.",
    "too-many-questions": "The gateway has answered five questions within the last second; ask again.",
} as const;

/** Prints where a request would go now and why. The request is not sent. */
export async function explainRequest(
    { reader, output, gateway, question, format }: ExplainOptions,
): Promise<CommandOutcome> {
    const answer = await reader.explain(gateway, question);
    const parsed = explanationSchema.safeParse(answer);
    if (!parsed.success) {
        output.error(
            answer === undefined
                ? `${gateway}: no answer; the address is that of the gateway's metrics`
                : `${gateway}: the answer cannot be read`,
        );
        return "unavailable";
    }
    if (parsed.data.kind !== "explained") {
        output.error(unanswered[parsed.data.kind]);
        return parsed.data.kind === "no-route" ? "not-found" : "unavailable";
    }
    const lines = format === "json" ? [JSON.stringify(answer, undefined, 2)] : renderExplanation(parsed.data);
    lines.forEach(line => output.line(line));
    return "done";
}

function renderExplanation(explained: Explained): string[] {
    const { route, configurationVersion, configurationAgeMs, viewAgeMs, zone, gateways, services } = explained;
    return [
        `route ${route}, configuration ${configurationVersion} (${configurationAgeMs} ms old), upstreams ${viewAgeMs} ms old`,
        `gateway in zone ${zone}, one of ${gateways}`,
        ...services.flatMap(service => ["", ...renderService(service)]),
    ];
}

function renderService({ service, weight, spillover, candidates }: ExplainedService): string[] {
    const targets = Object.entries(spillover?.targets ?? {}).map(([zone, part]) => `${zone} ${percent(part)}`);
    const leaving = spillover
        ? `leaves the zone: ${percent(spillover.share)} (${spillover.reason}; ${spillover.ageMs} ms old)`
            + (targets.length > 0 ? `, for ${targets.join(", ")}` : "")
        : "the choice is made over all zones";
    const rows = candidates.map(candidate => [
        candidate.upstream,
        candidate.zone,
        candidate.group ? `${candidate.group.name}/${candidate.group.epoch}` : "",
        String(candidate.inFlight),
        String(candidate.unreadTokens),
        String(candidate.predictedMs ?? ""),
        String(candidate.cost ?? ""),
        percent(candidate.chance),
        candidate.against ?? "",
    ]);
    const heading = ["UPSTREAM", "ZONE", "GROUP", "IN FLIGHT", "UNREAD", "FIRST EVENT MS", "COST", "CHANCE", "AGAINST"];
    return [
        `service ${service}, weight ${weight}; ${leaving}`,
        ...(rows.length > 0 ? renderTable([heading, ...rows]) : ["nothing serves the request now"]),
    ];
}

function percent(fraction: number): string {
    return `${Math.round(fraction * 100)}%`;
}

import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Peer } from "@fescuehaven/coordination";
import type { TlsMaterial } from "@fescuehaven/daemon";
import { type Event, IntrospectionService } from "@fescuehaven/protocol";
import type { EventFilter, StampedEvent } from "@fescuehaven/telemetry";
import type { ProcessReader } from "../ports/ProcessReader.js";

interface ConnectProcessReaderOptions {
    /** Longest wait for each process, ms. */
    timeoutMs: number;
    /** PEM texts towards processes whose URL is https. */
    tls?: TlsMaterial;
}

/** Reads processes by connect-es. */
export class ConnectProcessReader implements ProcessReader {
    private constructor(private readonly options: ConnectProcessReaderOptions) {}

    /** Creates a reader. */
    static create(options: ConnectProcessReaderOptions): ConnectProcessReader {
        return new ConnectProcessReader(options);
    }

    /** A process's time line. */
    async events(peer: Peer, filter: EventFilter): Promise<{ events: StampedEvent[]; dropped: number; } | undefined> {
        try {
            const answer = await this.clientOf(peer).readEvents(filter, { timeoutMs: this.options.timeoutMs });
            return { events: answer.events.map(stampedEvent), dropped: Number(answer.dropped) };
        }
        catch {
            return undefined;
        }
    }

    /** A process's state. */
    async state(peer: Peer): Promise<{ configurationRevision: number; state: Record<string, unknown>; } | undefined> {
        try {
            const answer = await this.clientOf(peer).readState({}, { timeoutMs: this.options.timeoutMs });
            return {
                configurationRevision: Number(answer.configurationRevision),
                state: JSON.parse(answer.stateJson) as Record<string, unknown>,
            };
        }
        catch {
            return undefined;
        }
    }

    private clientOf(peer: Peer): Client<typeof IntrospectionService> {
        const transport = createConnectTransport({
            baseUrl: peer.url,
            httpVersion: "2",
            nodeOptions: this.options.tls,
        });
        return createClient(IntrospectionService, transport);
    }
}

function stampedEvent(event: Event): StampedEvent {
    const detail = JSON.parse(event.detailJson) as Partial<StampedEvent>;
    return {
        ...detail,
        at: { wallMs: Number(event.wallMs), logical: event.logical },
        process: event.process,
        processZone: event.zone,
        kind: event.kind as StampedEvent["kind"],
        ...(event.requestId && { requestId: event.requestId }),
        ...(event.group && { group: event.group }),
        ...(event.vm && { vm: event.vm }),
    };
}

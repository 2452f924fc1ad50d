import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Peer } from "@fescuehaven/coordination";
import type { TlsMaterial } from "@fescuehaven/daemon";
import { type Event, IntrospectionService } from "@fescuehaven/protocol";
import type { EventFilter, StampedEvent } from "@fescuehaven/telemetry";
import type { ProcessReader } from "../ports/ProcessReader.js";

interface ConnectProcessReaderOptions {
    /** Timeout of one request to a process. */
    timeoutMs: number;
    /** PEM data for connections to processes whose URL is https. */
    tls?: TlsMaterial;
}

/** Reads the timelines and states of processes through their Connect introspection service. */
export class ConnectProcessReader implements ProcessReader {
    private constructor(private readonly options: ConnectProcessReaderOptions) {}

    /** Creates a reader. */
    static create(options: ConnectProcessReaderOptions): ConnectProcessReader {
        return new ConnectProcessReader(options);
    }

    /** Returns a process's timeline, or undefined if the request failed or timed out. */
    async events(peer: Peer, filter: EventFilter): Promise<{ events: StampedEvent[]; dropped: number; } | undefined> {
        try {
            const response = await this.clientOf(peer).readEvents(filter, { timeoutMs: this.options.timeoutMs });
            return { events: response.events.map(toStampedEvent), dropped: Number(response.dropped) };
        }
        catch {
            return undefined;
        }
    }

    /** Returns a process's state, or undefined if the request failed or timed out. */
    async state(peer: Peer): Promise<{ configurationRevision: number; state: Record<string, unknown>; } | undefined> {
        try {
            const response = await this.clientOf(peer).readState({}, { timeoutMs: this.options.timeoutMs });
            return {
                configurationRevision: Number(response.configurationRevision),
                state: JSON.parse(response.stateJson) as Record<string, unknown>,
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

function toStampedEvent(event: Event): StampedEvent {
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

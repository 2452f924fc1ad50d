import type { ConnectRouter } from "@connectrpc/connect";
import { IntrospectionService, type ReadEventsRequest } from "@fescuehaven/protocol";
import type { EventRing, StampedEvent } from "@fescuehaven/telemetry";

interface IntrospectionHandlerOptions {
    process: string;
    zone: string;
    role: "router" | "controller";
    events: EventRing;
    /** Highest active configuration revision. */
    configurationRevision: () => number;
    /** Returns the process's state as plain JSON values. */
    state: () => Record<string, unknown>;
}

/** Most events in one response. */
const MAX_EVENTS = 10_000;

/** Lets operators read the timeline and the state of this process. */
export class IntrospectionHandler {
    private constructor(private readonly options: IntrospectionHandlerOptions) {}

    /** Creates the handler. */
    static create(options: IntrospectionHandlerOptions): IntrospectionHandler {
        return new IntrospectionHandler(options);
    }

    /** Adds the service to the peer server. */
    registerOn(router: ConnectRouter): void {
        router.service(IntrospectionService, {
            readEvents: request => this.readEvents(request),
            readState: () => ({
                process: this.options.process,
                zone: this.options.zone,
                role: this.options.role,
                configurationRevision: BigInt(this.options.configurationRevision()),
                stateJson: JSON.stringify(this.options.state()),
            }),
        });
    }

    private readEvents(request: ReadEventsRequest): { events: ReturnType<typeof eventMessage>[]; dropped: bigint; } {
        const events = this.options.events.read({
            requestId: request.requestId || undefined,
            group: request.group || undefined,
            vm: request.vm || undefined,
            limit: Math.min(request.limit || MAX_EVENTS, MAX_EVENTS),
        });
        return { events: events.map(eventMessage), dropped: BigInt(this.options.events.dropped) };
    }
}

/** Converts an event to its message. Fields without a counterpart in the message are sent as JSON in `detailJson`. */
function eventMessage(event: StampedEvent): {
    wallMs: bigint;
    logical: number;
    process: string;
    zone: string;
    kind: string;
    requestId: string;
    group: string;
    vm: string;
    detailJson: string;
} {
    const { at, process, processZone, kind, requestId, group, vm, ...detail } = event;
    return {
        wallMs: BigInt(at.wallMs),
        logical: at.logical,
        process,
        zone: processZone,
        kind,
        requestId: requestId ?? "",
        group: group ?? "",
        vm: vm ?? "",
        detailJson: JSON.stringify(detail),
    };
}

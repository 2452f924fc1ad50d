import type { ConnectRouter } from "@connectrpc/connect";
import { hybridClockInterceptor } from "../adapters/hybridClockInterceptor.js";
import { IntrospectionHandler } from "../adapters/IntrospectionHandler.js";
import { PeerServer } from "../adapters/PeerServer.js";
import type { TlsIdentity } from "../adapters/TlsIdentity.js";
import type { DaemonContext } from "./DaemonContext.js";
import type { ZoneViews } from "./ZoneViews.js";

/** What a daemon's peer interface serves. */
interface PeerServerParts {
    context: DaemonContext;
    views: ZoneViews;
    role: "router" | "controller";
    /** State of the daemon's own, shown to operators beside that of the views. */
    state: () => Record<string, unknown>;
    /** Certificates; left out: no encryption. */
    identity?: TlsIdentity;
    /** Services of the daemon's own. */
    services: ReadonlyArray<(router: ConnectRouter) => void>;
}

/** Puts a daemon's peer interface together: the views' services, introspection and the daemon's own. */
export function createPeerServer(parts: PeerServerParts): PeerServer {
    const { context, views } = parts;
    const { settings, events, hybridClock } = context;
    const introspection = IntrospectionHandler.create({
        process: settings.process,
        zone: settings.zone,
        role: parts.role,
        events,
        configurationRevision: () => views.configuration.coveredRevision,
        state: () => ({ ...views.describe(), ...parts.state() }),
    });
    return PeerServer.create({
        ...settings.peerListen,
        services: [
            router => views.registerOn(router),
            router => introspection.registerOn(router),
            ...parts.services,
        ],
        interceptors: [hybridClockInterceptor(hybridClock)],
        identity: parts.identity,
    });
}

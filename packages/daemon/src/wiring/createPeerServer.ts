import type { ConnectRouter } from "@connectrpc/connect";
import { hybridClockInterceptor } from "../adapters/hybridClockInterceptor.js";
import { IntrospectionHandler } from "../adapters/IntrospectionHandler.js";
import { PeerServer } from "../adapters/PeerServer.js";
import type { TlsIdentity } from "../adapters/TlsIdentity.js";
import type { DaemonContext } from "./DaemonContext.js";
import type { ZoneViews } from "./ZoneViews.js";

interface PeerServerParts {
    context: DaemonContext;
    views: ZoneViews;
    role: "router" | "controller";
    /** State specific to this daemon, shown to operators together with that of the views. */
    state: () => Record<string, unknown>;
    /** Certificates of this process; left out: no encryption. */
    identity?: TlsIdentity;
    /** Functions that register services specific to this daemon. */
    services: ReadonlyArray<(router: ConnectRouter) => void>;
}

/** Creates a daemon's peer server with the services of the views, introspection and those specific to the daemon. */
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

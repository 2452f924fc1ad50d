import type { TlsIdentity } from "@fescuehaven/daemon";
import type { FastifyServerFactory } from "fastify";
import { createServer } from "node:https";

/** Creates HTTPS servers for callers that use the identity's certificate and follow its changes. */
export function createCallerServerFactory(identity: TlsIdentity): FastifyServerFactory {
    return handler => {
        const server = createServer({ ...identity.material, minVersion: "TLSv1.2" }, handler);
        identity.onChange(material => server.setSecureContext({ ...material, minVersion: "TLSv1.2" }));
        return server;
    };
}

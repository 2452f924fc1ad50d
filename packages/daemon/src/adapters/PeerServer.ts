import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
    createSecureServer,
    createServer,
    type Http2SecureServer,
    type Http2Server,
    type ServerHttp2Session,
} from "node:http2";
import type { TlsIdentity } from "./TlsIdentity.js";

interface PeerServerOptions {
    host: string;
    port: number;
    /** Functions that each register their services. */
    services: ReadonlyArray<(router: ConnectRouter) => void>;
    interceptors: Interceptor[];
    /** If set, both sides must present a certificate of a trusted authority. Left out: no encryption. */
    identity?: TlsIdentity;
}

/** Serves other processes of the system with connect-es over HTTP/2. */
export class PeerServer {
    private readonly server: Http2Server | Http2SecureServer;
    private readonly sessions = new Set<ServerHttp2Session>();

    private constructor(private readonly options: PeerServerOptions) {
        const handler = connectNodeAdapter({
            routes: router => options.services.forEach(register => register(router)),
            interceptors: options.interceptors,
        });
        this.server = options.identity ? createTlsServer(options.identity, handler) : createServer(handler);
        this.server.on("session", (session: ServerHttp2Session) => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
            session.on("error", () => undefined);
        });
    }

    /** Creates the server; it listens after `listen`. */
    static create(options: PeerServerOptions): PeerServer {
        return new PeerServer(options);
    }

    /** Starts listening. Rejects if the address cannot be bound. */
    listen(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => {
                this.server.off("error", reject);
                resolve();
            });
        });
    }

    /** Stops listening and closes every session. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const session of this.sessions) {
            session.destroy();
        }
        await closed;
    }
}

function createTlsServer(identity: TlsIdentity, handler: ReturnType<typeof connectNodeAdapter>): Http2SecureServer {
    const server = createSecureServer({
        ...identity.material,
        requestCert: true,
        rejectUnauthorized: true,
        minVersion: "TLSv1.3",
    }, handler);
    identity.onChange(material => server.setSecureContext({ ...material, minVersion: "TLSv1.3" }));
    return server;
}

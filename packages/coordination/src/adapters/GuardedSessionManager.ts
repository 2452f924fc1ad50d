import { Http2SessionManager } from "@connectrpc/connect-node";
import type { ClientHttp2Stream } from "node:http2";

type SessionManager = Pick<Http2SessionManager, "authority" | "request" | "notifyResponseByteRead">;

/**
 * A session manager whose sessions always have an error listener. The library removes its own listener if a call
 * arrives between the failure of a session and its error event, and the event would then terminate the process.
 */
export class GuardedSessionManager implements SessionManager {
    private readonly guarded = new WeakSet<object>();

    private constructor(private readonly sessions: Http2SessionManager) {}

    /** Creates the manager with the arguments of `Http2SessionManager`. */
    static create(...options: ConstructorParameters<typeof Http2SessionManager>): GuardedSessionManager {
        return new GuardedSessionManager(new Http2SessionManager(...options));
    }

    /** Origin to which the manager connects. */
    get authority(): string {
        return this.sessions.authority;
    }

    /** True while a connection is open or being opened. */
    get isOpen(): boolean {
        return ["connecting", "open", "idle", "verifying"].includes(this.sessions.state());
    }

    /** Opens a stream, over a new connection if there is none. */
    async request(...options: Parameters<SessionManager["request"]>): Promise<ClientHttp2Stream> {
        const stream = await this.sessions.request(...options);
        const { session } = stream;
        if (session && !this.guarded.has(session)) {
            this.guarded.add(session);
            session.on("error", () => {});
        }
        return stream;
    }

    /** Informs the session manager that the connection is alive. */
    notifyResponseByteRead(stream: ClientHttp2Stream): void {
        this.sessions.notifyResponseByteRead(stream);
    }

    /** Closes the connection, which makes its streams fail. */
    abort(): void {
        this.sessions.abort();
    }
}

import { type DescMessage, type DescService, type MessageShape, toBinary } from "@bufbuild/protobuf";
import {
    type Client,
    Code,
    ConnectError,
    type ConnectRouter,
    createClient,
    createRouterTransport,
    type Interceptor,
    type Transport,
} from "@connectrpc/connect";
import type { Peer, PeerClients } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";

/** State of the way from one process to another, and back. */
type LinkState = "open" | "refused" | "silent";

const SILENCE_POLL_MS = 10;

/** Connects processes within a test, with links that can be cut, silent or slow. */
export class MemoryNetwork {
    /** Every message crosses a link after this long, ms. */
    delayMs = 0;
    /** Called with every call that reached a process. */
    onCall: (from: string, to: string, method: string) => void = () => {};

    /** Called with the size of every message that crossed a link, when set; sizes are without framing, bytes. */
    onMessage: ((from: string, to: string, method: string, sizeBytes: number) => void) | undefined;

    private readonly routes = new Map<string, (router: ConnectRouter) => void>();
    private readonly links = new Map<string, LinkState>();
    private readonly silenced = new WeakSet<object>();
    private connections: object[] = [];

    private constructor(private readonly clock: Clock) {}

    /** Creates a network without processes. */
    static create(clock: Clock): MemoryNetwork {
        return new MemoryNetwork(clock);
    }

    /** Makes a process reachable. */
    listen(process: string, routes: (router: ConnectRouter) => void): void {
        this.routes.set(process, routes);
    }

    /** Makes a process gone: calls to it are refused. */
    close(process: string): void {
        this.routes.delete(process);
    }

    /** Sets the state of the link between two processes, both ways. */
    setLink(one: string, other: string, state: LinkState): void {
        this.links.set(linkId(one, other), state);
    }

    /** Makes every connection that exists silent for good; new ones work. */
    silenceConnections(): void {
        this.connections.forEach(connection => this.silenced.add(connection));
        this.connections = [];
    }

    /** The clients of one process. */
    clientsOf(process: string): PeerClients {
        const transports = new Map<string, Transport>();
        return {
            get: <S extends DescService>(service: S, peer: Peer): Client<S> => {
                const transport = transports.get(peer.name) ?? this.dial(process, peer.name);
                transports.set(peer.name, transport);
                return createClient(service, transport);
            },
            abandon: peer => {
                transports.delete(peer.name);
            },
        };
    }

    private dial(from: string, to: string): Transport {
        const routes = this.routes.get(to) ?? (() => {});
        const connection = {};
        this.connections.push(connection);
        const interceptors = [this.crossing(from, to, connection)];
        return createRouterTransport(routes, { transport: { interceptors } });
    }

    private crossing(from: string, to: string, connection: object): Interceptor {
        const cross = (signal: AbortSignal) => this.cross(from, to, connection, signal);
        return next => async request => {
            await cross(request.signal);
            const { input, name, output } = request.method;
            const count = (sender: string, receiver: string, schema: DescMessage, message: unknown) => {
                const sizeBytes = this.onMessage ? toBinary(schema, message as MessageShape<DescMessage>).length : 0;
                this.onMessage?.(sender, receiver, name, sizeBytes);
            };
            this.onCall(from, to, name);
            if (!request.stream) {
                count(from, to, input, request.message);
            }
            const response = await next(request);
            await cross(request.signal);
            if (!response.stream) {
                count(to, from, output, response.message);
                return response;
            }
            return {
                ...response,
                message: this.deliver(response.message, async message => {
                    await cross(request.signal);
                    count(to, from, output, message);
                }),
            };
        };
    }

    private async *deliver<T>(messages: AsyncIterable<T>, cross: (message: T) => Promise<void>): AsyncIterable<T> {
        for await (const message of messages) {
            await cross(message);
            yield message;
        }
    }

    /** Waits as long as the link is silent; a message that crosses later arrives late. */
    private async cross(from: string, to: string, connection: object, signal: AbortSignal): Promise<void> {
        if (this.delayMs > 0) {
            await this.clock.sleep(this.delayMs, signal);
        }
        const isSilent = () => this.silenced.has(connection) || this.links.get(linkId(from, to)) === "silent";
        while (isSilent() && !signal.aborted) {
            await this.clock.sleep(SILENCE_POLL_MS, signal);
        }
        if (signal.aborted || this.links.get(linkId(from, to)) === "refused" || !this.routes.has(to)) {
            throw new ConnectError("link is down", Code.Unavailable);
        }
    }
}

function linkId(one: string, other: string): string {
    return [one, other].sort().join(" ");
}

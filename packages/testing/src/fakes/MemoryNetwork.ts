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

/** State of the link between two processes, in both directions. */
type LinkState = "open" | "refused" | "silent";

const SILENCE_POLL_MS = 10;

/** Connects processes within a test over links that can be refused, silent or slow. */
export class MemoryNetwork {
    /** Delay of every message. */
    delayMs = 0;
    /** Called for every call that has reached a process. */
    onCall: (from: string, to: string, method: string) => void = () => {};

    /** Called, when set, for every message that has crossed a link; the size excludes the framing. */
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

    /** Removes a process: calls to it are refused. */
    close(process: string): void {
        this.routes.delete(process);
    }

    /** Sets the state of the link between two processes, in both directions. */
    setLink(one: string, other: string, state: LinkState): void {
        this.links.set(linkId(one, other), state);
    }

    /** Makes every existing connection silent permanently; new connections work. */
    silenceConnections(): void {
        this.connections.forEach(connection => this.silenced.add(connection));
        this.connections = [];
    }

    /** Returns the clients through which one process calls its peers. */
    clientsOf(process: string): PeerClients {
        const transports = new Map<string, Transport>();
        return {
            get: <S extends DescService>(service: S, peer: Peer): Client<S> => {
                const transport = transports.get(peer.name) ?? this.connect(process, peer.name);
                transports.set(peer.name, transport);
                return createClient(service, transport);
            },
            abandon: peer => {
                transports.delete(peer.name);
            },
        };
    }

    private connect(from: string, to: string): Transport {
        const routes = this.routes.get(to) ?? (() => {});
        const connection = {};
        this.connections.push(connection);
        const interceptors = [this.linkInterceptor(from, to, connection)];
        return createRouterTransport(routes, { transport: { interceptors } });
    }

    private linkInterceptor(from: string, to: string, connection: object): Interceptor {
        const waitForThisLink = (signal: AbortSignal) => this.waitForLink(from, to, connection, signal);
        return next => async request => {
            await waitForThisLink(request.signal);
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
            await waitForThisLink(request.signal);
            if (!response.stream) {
                count(to, from, output, response.message);
                return response;
            }
            return {
                ...response,
                message: this.deliver(response.message, async message => {
                    await waitForThisLink(request.signal);
                    count(to, from, output, message);
                }),
            };
        };
    }

    private async *deliver<T>(
        messages: AsyncIterable<T>,
        beforeDelivery: (message: T) => Promise<void>,
    ): AsyncIterable<T> {
        for await (const message of messages) {
            await beforeDelivery(message);
            yield message;
        }
    }

    /** Delays a message for `delayMs` and while its link is silent; throws if it can't be delivered. */
    private async waitForLink(from: string, to: string, connection: object, signal: AbortSignal): Promise<void> {
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

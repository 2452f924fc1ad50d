import type { DescService } from "@bufbuild/protobuf";
import { type Client, createClient, type Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { SecureClientSessionOptions } from "node:http2";
import type { Peer } from "../Peer.js";
import type { PeerClients } from "../ports/PeerClients.js";
import { GuardedSessionManager } from "./GuardedSessionManager.js";

/** Time without data from the peer after which a connection is pinged. */
const PING_INTERVAL_MS = 1000;
/** A connection is replaced if its ping receives no response within this time. */
const PING_TIMEOUT_MS = 1000;
/** Time after which a connection without calls is closed. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

interface ConnectPeerClientsOptions {
    /** Source address of connections. */
    localAddress?: string;
    /** Returns the TLS options for peers with an https URL; called for every new connection. */
    tls?: () => Pick<
        SecureClientSessionOptions,
        "ca" | "cert" | "key" | "servername" | "checkServerIdentity" | "minVersion"
    >;
    pingIntervalMs?: number;
    pingTimeoutMs?: number;
}

interface Connection {
    sessions: GuardedSessionManager;
    transport: Transport;
    clients: Map<string, Client<DescService>>;
}

/**
 * Clients over HTTP/2 with one connection per peer and pings that detect silent connections.
 * Calls have no default timeout: callers have to pass `timeoutMs` or a signal.
 */
export class ConnectPeerClients implements PeerClients {
    private readonly connections = new Map<string, Connection>();
    private abandoned: GuardedSessionManager[] = [];

    private constructor(private readonly options: ConnectPeerClientsOptions) {}

    /** Creates the clients without opening a connection. */
    static create(options: ConnectPeerClientsOptions = {}): ConnectPeerClients {
        return new ConnectPeerClients(options);
    }

    /** Returns a client of a peer's service. */
    get<S extends DescService>(service: S, peer: Peer): Client<S> {
        const connection = this.connections.get(peer.url) ?? this.open(peer.url);
        const known = connection.clients.get(service.typeName);
        if (known) {
            return known as Client<S>;
        }
        const client = createClient(service, connection.transport);
        connection.clients.set(service.typeName, client);
        return client;
    }

    /**
     * Makes the next call to a peer open a new connection. Calls in progress keep the old one, which its pings close
     * if it is in fact silent.
     */
    abandon(peer: Peer): void {
        this.abandonUrl(peer.url);
    }

    /** Makes the next call to every peer open a new connection, for example after certificates changed. */
    abandonAll(): void {
        [...this.connections.keys()].forEach(url => this.abandonUrl(url));
    }

    private abandonUrl(url: string): void {
        const connection = this.connections.get(url);
        if (!connection) {
            return;
        }
        this.connections.delete(url);
        this.abandoned = this.abandoned.filter(sessions => sessions.isOpen);
        this.abandoned.push(connection.sessions);
    }

    /** Closes every connection; calls in progress fail. */
    close(): void {
        const sessions = [...this.connections.values()].map(connection => connection.sessions);
        [...sessions, ...this.abandoned].forEach(manager => manager.abort());
        this.connections.clear();
        this.abandoned = [];
    }

    private open(url: string): Connection {
        const sessions = GuardedSessionManager.create(
            url,
            {
                pingIntervalMs: this.options.pingIntervalMs ?? PING_INTERVAL_MS,
                pingTimeoutMs: this.options.pingTimeoutMs ?? PING_TIMEOUT_MS,
                idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
            },
            { ...this.options.tls?.(), localAddress: this.options.localAddress } as SecureClientSessionOptions,
        );
        const transport = createConnectTransport({
            baseUrl: url,
            httpVersion: "2",
            sessionManager: sessions,
        });
        const connection = { sessions, transport, clients: new Map<string, Client<DescService>>() };
        this.connections.set(url, connection);
        return connection;
    }
}

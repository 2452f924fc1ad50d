import type { Clock } from "@fescuehaven/runtime";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** How the relay treats connections and their data. */
type RelayMode =
    | { kind: "forward"; }
    /** Data and closes in the given direction are dropped; connections stay open. */
    | { kind: "silent"; direction: "both" | "to-target" | "to-source"; }
    /** New connections are reset; open ones are closed. */
    | { kind: "refuse"; }
    | { kind: "delay"; delayMs: number; };

type Direction = "to-target" | "to-source";

interface RelayedConnection {
    source: Socket;
    target: Socket;
    /** Whether everything is dropped from now on, regardless of the relay's mode. */
    isSilenced: boolean;
    /** Resolves once the last delayed data of a direction has been delivered; later data waits for it to keep the order. */
    pendingDeliveries: Partial<Record<Direction, Promise<void>>>;
}

/** A TCP relay on loopback that can silently drop data, as a network does that has lost a connection's state. */
export class SilentRelay {
    private readonly server: Server;
    private readonly connections = new Set<RelayedConnection>();
    private mode: RelayMode = { kind: "forward" };

    private constructor(private readonly target: { host: string; port: number; }, private readonly clock: Clock) {
        this.server = createServer({ allowHalfOpen: true }, source => this.accept(source));
    }

    /** Creates a relay to `target`; it accepts connections once `listen` is called. */
    static create(options: { target: { host: string; port: number; }; clock: Clock; }): SilentRelay {
        return new SilentRelay(options.target, options.clock);
    }

    /** Starts listening; port 0 chooses a free port. Returns the base URL. */
    async listen(host = "127.0.0.1", port = 0): Promise<string> {
        await new Promise<void>(resolve => this.server.listen({ host, port }, resolve));
        return `http://${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Number of connections with at least one open end. */
    get openConnections(): number {
        return this.connections.size;
    }

    /** Changes the mode for all connections, open and new. */
    set(mode: RelayMode): void {
        this.mode = mode;
        if (mode.kind === "refuse") {
            this.connections.forEach(connection => destroySockets(connection));
        }
    }

    /** Drops everything on the connections that are currently open, permanently; new connections work. */
    silenceOpenConnections(): void {
        this.connections.forEach(connection => {
            connection.isSilenced = true;
        });
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.connections.forEach(connection => destroySockets(connection));
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(source: Socket): void {
        if (this.mode.kind === "refuse") {
            source.resetAndDestroy();
            return;
        }
        const target = connect({ ...this.target, allowHalfOpen: true });
        const connection: RelayedConnection = { source, target, isSilenced: false, pendingDeliveries: {} };
        this.connections.add(connection);
        this.relay(connection, source, target, "to-target");
        this.relay(connection, target, source, "to-source");
    }

    private relay(connection: RelayedConnection, from: Socket, to: Socket, direction: Direction): void {
        from.setNoDelay(true);
        from.on("data", bytes => this.deliver(connection, direction, () => to.write(bytes)));
        from.on("end", () => this.deliver(connection, direction, () => to.end()));
        from.on("error", () => this.deliver(connection, direction, () => to.destroy()));
        from.on("close", () => {
            if (connection.source.destroyed && connection.target.destroyed) {
                this.connections.delete(connection);
            }
            this.deliver(connection, direction, () => to.destroy());
        });
    }

    private deliver(connection: RelayedConnection, direction: Direction, action: () => void): void {
        if (connection.isSilenced || this.isDropped(direction)) {
            return;
        }
        const before = connection.pendingDeliveries[direction];
        if (this.mode.kind !== "delay" && !before) {
            action();
            return;
        }
        const delayMs = this.mode.kind === "delay" ? this.mode.delayMs : 0;
        const passed = Promise.all([before, this.clock.sleep(delayMs)]).then(() => {
            action();
            if (connection.pendingDeliveries[direction] === passed) {
                delete connection.pendingDeliveries[direction];
            }
        });
        connection.pendingDeliveries[direction] = passed;
    }

    private isDropped(direction: Direction): boolean {
        return this.mode.kind === "silent" && (this.mode.direction === "both" || this.mode.direction === direction);
    }
}

function destroySockets(connection: RelayedConnection): void {
    connection.source.destroy();
    connection.target.destroy();
}

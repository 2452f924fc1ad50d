import type { Clock } from "@fescuehaven/runtime";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What the relay does with bytes. */
type RelayMode =
    | { kind: "forward"; }
    /** Bytes and closings in the direction are dropped; connections stay open. */
    | { kind: "silent"; direction: "both" | "to-target" | "to-source"; }
    /** New connections are reset, open ones closed. */
    | { kind: "refuse"; }
    | { kind: "delay"; delayMs: number; };

type Direction = "to-target" | "to-source";

interface Link {
    source: Socket;
    target: Socket;
    /** Silent for good, whatever the relay's mode. */
    isLost: boolean;
    /** When the newest delayed bytes of a direction have been passed on; what follows them does not overtake. */
    delayed: Partial<Record<Direction, Promise<void>>>;
}

/** A TCP relay on loopback that can go silent, as a network does that has lost track of a connection. */
export class SilentRelay {
    private readonly server: Server;
    private readonly links = new Set<Link>();
    private mode: RelayMode = { kind: "forward" };

    private constructor(private readonly target: { host: string; port: number; }, private readonly clock: Clock) {
        this.server = createServer({ allowHalfOpen: true }, source => this.accept(source));
    }

    /** Creates a relay to `target`; it serves once `listen` is called. */
    static create(options: { target: { host: string; port: number; }; clock: Clock; }): SilentRelay {
        return new SilentRelay(options.target, options.clock);
    }

    /** Starts to serve at `host`; gives the base URL. */
    async listen(host = "127.0.0.1", port = 0): Promise<string> {
        await new Promise<void>(resolve => this.server.listen({ host, port }, resolve));
        return `http://${host}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Connections of which one end at least is open. */
    get openConnections(): number {
        return this.links.size;
    }

    /** Changes what happens to all connections from now on. */
    set(mode: RelayMode): void {
        this.mode = mode;
        if (mode.kind === "refuse") {
            this.links.forEach(link => cut(link));
        }
    }

    /** Makes the connections that are open now silent for good; new ones work. */
    loseOpenConnections(): void {
        this.links.forEach(link => {
            link.isLost = true;
        });
    }

    /** Stops and closes all connections. */
    async close(): Promise<void> {
        this.links.forEach(link => cut(link));
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(source: Socket): void {
        if (this.mode.kind === "refuse") {
            source.resetAndDestroy();
            return;
        }
        const target = connect({ ...this.target, allowHalfOpen: true });
        const link: Link = { source, target, isLost: false, delayed: {} };
        this.links.add(link);
        this.pass(link, source, target, "to-target");
        this.pass(link, target, source, "to-source");
    }

    private pass(link: Link, from: Socket, to: Socket, direction: Direction): void {
        from.setNoDelay(true);
        from.on("data", bytes => this.deliver(link, direction, () => to.write(bytes)));
        from.on("end", () => this.deliver(link, direction, () => to.end()));
        from.on("error", () => this.deliver(link, direction, () => to.destroy()));
        from.on("close", () => {
            if (link.source.destroyed && link.target.destroyed) {
                this.links.delete(link);
            }
            this.deliver(link, direction, () => to.destroy());
        });
    }

    private deliver(link: Link, direction: Direction, action: () => void): void {
        if (link.isLost || this.drops(direction)) {
            return;
        }
        const before = link.delayed[direction];
        if (this.mode.kind !== "delay" && !before) {
            action();
            return;
        }
        const delayMs = this.mode.kind === "delay" ? this.mode.delayMs : 0;
        const passed = Promise.all([before, this.clock.sleep(delayMs)]).then(() => {
            action();
            if (link.delayed[direction] === passed) {
                delete link.delayed[direction];
            }
        });
        link.delayed[direction] = passed;
    }

    private drops(direction: Direction): boolean {
        return this.mode.kind === "silent" && (this.mode.direction === "both" || this.mode.direction === direction);
    }
}

function cut(link: Link): void {
    link.source.destroy();
    link.target.destroy();
}

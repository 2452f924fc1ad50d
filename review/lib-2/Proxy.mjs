import { connect, createServer } from "node:net";

/** TCP proxy in front of a stand-in. While it is cut, it passes nothing on, in either direction, and resets nothing. */
export class Proxy {
    isCut = false;
    pairs = new Set();

    constructor(target) {
        this.target = target;
    }

    async listen(host = "127.0.0.1", port = 0) {
        this.server = createServer(socket => this.accept(socket));
        await new Promise(resolve => this.server.listen(port, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        return this.address;
    }

    accept(inner) {
        const [host, port] = this.target.split(":");
        const outer = connect({ host, port: Number(port), noDelay: true });
        inner.setNoDelay(true);
        const pair = { inner, outer, held: [] };
        this.pairs.add(pair);
        const pass = (from, to) => {
            from.on("data", bytes => this.forward(pair, () => to.write(bytes)));
            from.on("end", () => this.forward(pair, () => to.end()));
            from.on("error", () => this.forward(pair, () => to.resetAndDestroy()));
            from.on("close", () => {
                this.forward(pair, () => to.destroy());
                if (inner.destroyed && outer.destroyed) {
                    this.pairs.delete(pair);
                }
            });
        };
        pass(inner, outer);
        pass(outer, inner);
    }

    forward(pair, action) {
        if (this.isCut || pair.held.length > 0) {
            pair.held.push(action);
        }
        else {
            action();
        }
    }

    cut() {
        this.isCut = true;
    }

    heal() {
        this.isCut = false;
        for (const pair of this.pairs) {
            const held = pair.held.splice(0);
            if (pair.inner.destroyed) {
                // What its sender has given up is lost.
                [pair.inner, pair.outer].forEach(socket => socket.destroy());
                continue;
            }
            held.forEach(action => action());
        }
    }

    /** Resets all connections. */
    reset() {
        for (const { inner, outer } of [...this.pairs]) {
            inner.resetAndDestroy();
            outer.destroy();
        }
    }

    close() {
        this.pairs.forEach(({ inner, outer }) => [inner, outer].forEach(socket => socket.destroy()));
        this.server.close();
    }
}

import { createServer } from "node:http";

/**
 * Stand-in for the platform's store: objects by kind and name, conditional writes, listings and watches, as PROTOCOL.md
 * describes them. `mode` is "up", or "silent" or "busy" while the store is down: then nothing is executed, and a call gets no answer
 * or 503.
 */
export class Store {
    mode = "up";
    revision = 1;
    /** Objects by "KIND/NAME". */
    objects = new Map();
    events = [];
    waiters = new Set();
    /** Changes what listings and watches show of an object, so that a proxy can be placed in front of its address. */
    show = (_kind, object) => object;
    sockets = new Set();

    async listen() {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    get(kind, name) {
        return this.objects.get(`${kind}/${name}`);
    }

    /** Writes without a condition, as operators and workers do; returns false while the store is down. */
    put(kind, name, specification) {
        if (this.mode !== "up") {
            return false;
        }
        this.commit(kind, name, specification);
        return true;
    }

    remove(kind, name) {
        const object = this.get(kind, name);
        if (object) {
            this.objects.delete(`${kind}/${name}`);
            this.revision += 1;
            this.publish(kind, { ...object, metadata: { ...object.metadata, revision: this.revision } }, true);
        }
    }

    commit(kind, name, specification) {
        const known = this.get(kind, name);
        // The entry of a worker changes when more than its `sequence` changes.
        const isHeartbeat = kind === "servers" && known
            && JSON.stringify({ ...known.specification, sequence: 0 })
                === JSON.stringify({ ...specification, sequence: 0 });
        if (isHeartbeat) {
            return known;
        }
        if (known && JSON.stringify(known.specification) === JSON.stringify(specification)) {
            return known;
        }
        this.revision += 1;
        const created = known?.metadata.created ?? this.revision;
        const metadata = { name, revision: this.revision, created, finalizers: [], deleting: false };
        const object = { metadata, specification, status: null };
        this.objects.set(`${kind}/${name}`, object);
        this.publish(kind, object, false);
        return object;
    }

    publish(kind, object, tombstone) {
        this.events.push({ kind, revision: this.revision, event: { object, tombstone } });
        this.waiters.forEach(wake => wake());
    }

    async serve(request, response) {
        let text = "";
        for await (const part of request) {
            text += part;
        }
        if (this.mode !== "up") {
            this.refuse(response);
            return;
        }
        const url = new URL(request.url, "http://store");
        const [, , kind, name] = url.pathname.split("/").map(decodeURIComponent);
        const send = (status, body) => {
            if (this.mode !== "up") {
                this.refuse(response);
                return;
            }
            response.writeHead(status, { "content-type": "application/json" });
            response.end(body === undefined ? "" : JSON.stringify(body));
        };
        if (request.method === "GET" && name === undefined) {
            const watch = url.searchParams.get("watch");
            if (watch === null) {
                const items = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, item]) =>
                    this.show(kind, item)
                );
                send(200, { items, hasMore: false, asOf: this.revision });
            }
            else {
                await this.watch(kind, Number(watch), Number(url.searchParams.get("waitMs")), send);
            }
            return;
        }
        if (request.method === "GET") {
            const object = this.get(kind, name);
            send(object ? 200 : 404, object);
            return;
        }
        this.write(request.method, kind, name, url, text === "" ? undefined : JSON.parse(text), send);
    }

    /** The store is down: nothing is done. */
    refuse(response) {
        if (this.mode === "busy") {
            response.writeHead(503).end();
        }
    }

    /** Takes the store down, or brings it back. Watches that wait are cut off as other calls are. */
    setMode(mode) {
        this.mode = mode;
        this.waiters.forEach(wake => wake());
    }

    write(method, kind, pathName, url, body, send) {
        const name = pathName ?? body.metadata.name;
        const known = this.get(kind, name);
        if (method === "POST") {
            send(known ? 409 : 201, known ?? this.commit(kind, name, body.specification));
            return;
        }
        if (!known) {
            send(404);
            return;
        }
        const expected = body?.metadata?.revision ?? url.searchParams.get("revision");
        if (expected !== undefined && expected !== null && Number(expected) !== known.metadata.revision) {
            send(409, known);
        }
        else if (method === "DELETE") {
            this.remove(kind, name);
            send(200, known);
        }
        else {
            send(200, this.commit(kind, name, body.specification));
        }
    }

    async watch(kind, after, waitMs, send) {
        const endMs = performance.now() + waitMs;
        for (;;) {
            const events = this.events.filter(item => item.kind === kind && item.revision > after).map(({ event }) => ({
                ...event,
                object: this.show(kind, event.object),
            }));
            const leftMs = endMs - performance.now();
            if (this.mode !== "up" || events.length > 0 || leftMs <= 0) {
                send(200, { events, asOf: this.revision });
                return;
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, leftMs);
                this.waiters.add(wake);
            });
        }
    }
}

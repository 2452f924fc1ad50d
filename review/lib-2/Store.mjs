import { createServer } from "node:http";

/** Changes that the store keeps for watches. */
const HISTORY = 20_000;
const LATENCY_MS = 4;

/** Stand-in for the platform's store. */
export class Store {
    kinds = new Map();
    revision = 10;
    history = [];
    waiting = new Set();
    latencyMs = LATENCY_MS;
    /** Every call that changes an object, and who made it. */
    onWrite = () => undefined;
    /** Returns how a call from a caller is disturbed: undefined, "silent", "lost". */
    disturb = () => undefined;

    async listen() {
        this.server = createServer((request, response) =>
            void this.serve(request, response).catch(() => response.destroy())
        );
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this.address;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    objects(kind) {
        if (!this.kinds.has(kind)) {
            this.kinds.set(kind, new Map());
        }
        return this.kinds.get(kind);
    }

    peek(kind, name) {
        return this.objects(kind).get(name);
    }

    /** Writes an object without a condition, as the operator and the workers do. */
    put(kind, name, specification) {
        const before = this.peek(kind, name);
        if (before && JSON.stringify(before.specification) === JSON.stringify(specification)) {
            return before;
        }
        this.revision += 1;
        const object = {
            metadata: {
                name,
                revision: this.revision,
                created: before?.metadata.created ?? this.revision,
                finalizers: [],
                deleting: false,
            },
            specification,
            status: before?.status,
        };
        this.objects(kind).set(name, object);
        this.record(kind, object, false);
        return object;
    }

    remove(kind, name) {
        const object = this.peek(kind, name);
        if (object) {
            this.revision += 1;
            this.objects(kind).delete(name);
            this.record(kind, { ...object, metadata: { ...object.metadata, revision: this.revision } }, true);
        }
    }

    record(kind, object, tombstone) {
        this.history.push({ kind, revision: this.revision, event: { object, tombstone } });
        if (this.history.length > HISTORY) {
            this.history.shift();
        }
        [...this.waiting].forEach(wake => wake());
    }

    async serve(request, response) {
        let text = "";
        for await (const part of request) {
            text += part;
        }
        const body = text === "" ? undefined : JSON.parse(text);
        const url = new URL(request.url, "http://store");
        const [, , kind, name, status] = url.pathname.split("/").map(decodeURIComponent);
        const disturbance = this.disturb({ method: request.method, kind, name, body });
        if (disturbance === "silent") {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, this.latencyMs));
        const result = url.searchParams.has("watch")
            ? await this.watch(kind, url.searchParams, request)
            : this.call(request.method, kind, name, status, body, url.searchParams);
        if (disturbance === "lost") {
            return;
        }
        response.writeHead(result.code, { "content-type": "application/json" });
        response.end(result.body === undefined ? undefined : JSON.stringify(result.body));
    }

    call(method, kind, name, status, body, query) {
        if (method === "GET" && name === undefined) {
            const all = [...this.objects(kind).values()].sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
            const rest = all.filter(object => object.metadata.name > (query.get("after") ?? ""));
            return { code: 200, body: { items: rest.slice(0, 500), hasMore: rest.length > 500, asOf: this.revision } };
        }
        const target = name ?? body?.metadata?.name;
        const current = this.peek(kind, target);
        if (method === "GET") {
            return current ? { code: 200, body: current } : { code: 404 };
        }
        const expected = query.get("revision") === null ? body?.metadata?.revision : Number(query.get("revision"));
        if (method === "POST" && current) {
            return { code: 409, body: current };
        }
        if (method !== "POST" && !current) {
            return { code: 404 };
        }
        if (expected !== undefined && method !== "POST" && expected !== current.metadata.revision) {
            return { code: 409, body: current };
        }
        this.onWrite({ method, kind, name: target, body });
        if (method === "DELETE") {
            this.remove(kind, target);
            return { code: 200, body: current };
        }
        return { code: method === "POST" ? 201 : 200, body: this.put(kind, target, body.specification) };
    }

    async watch(kind, query, request) {
        const after = Number(query.get("watch"));
        const endsAtMs = performance.now() + Number(query.get("waitMs") ?? 0);
        for (;;) {
            const events = this.history.filter(item => item.kind === kind && item.revision > after).map(({ event }) =>
                event
            );
            const leftMs = endsAtMs - performance.now();
            if (events.length > 0 || leftMs <= 0 || request.destroyed && request.aborted) {
                return { code: 200, body: { events, asOf: this.revision } };
            }
            await new Promise(resolve => {
                const timer = setTimeout(wake, leftMs);
                const waiting = this.waiting;
                function wake() {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                }
                waiting.add(wake);
            });
        }
    }
}

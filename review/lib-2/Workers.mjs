import { createServer } from "node:http";
import { Proxy } from "./Proxy.mjs";

const HEARTBEAT_MS = 1200;
const WARM_JOIN_MS = 200;
const EVENT_MS = 40;

const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Stand-ins for the workers, which follow the users' pages. Each is reached through a proxy. */
export class Workers {
    all = new Map();
    /** Everything that workers ran or were ordered. */
    onEvent = () => undefined;
    hasTraffic = false;

    constructor({ store, models, stallMs, formationMs = 200, heartbeatMs = HEARTBEAT_MS }) {
        Object.assign(this, {
            store,
            models: new Map(models.map(model => [model.name, model])),
            stallMs,
            formationMs,
            heartbeatMs,
        });
    }

    async add({ id, service, zone, domain, slots = 8 }) {
        const worker = {
            id,
            service,
            zone,
            domain,
            slots,
            state: "ready",
            born: Date.now(),
            beats: 0,
            sequence: 0,
            highestEpoch: 0,
            staged: [],
            model: undefined,
            lastModel: undefined,
            group: undefined,
            joinId: 0,
            isAlive: true,
        };
        worker.server = createServer((request, response) =>
            void this.serve(worker, request, response).catch(() => response.destroy())
        );
        worker.server.keepAliveTimeout = 30_000;
        await new Promise(resolve => worker.server.listen(0, "127.0.0.1", resolve));
        worker.proxy = new Proxy(`127.0.0.1:${worker.server.address().port}`);
        worker.address = await worker.proxy.listen();
        this.all.set(id, worker);
        worker.timer = setInterval(() => this.register(worker), this.heartbeatMs);
        this.register(worker);
        return worker;
    }

    get(id) {
        return this.all.get(id);
    }

    close() {
        for (const worker of this.all.values()) {
            clearInterval(worker.timer);
            worker.proxy.close();
            worker.server.closeAllConnections();
            worker.server.close();
        }
    }

    describe({ born, model, staged, group, domain }) {
        return {
            born,
            stage: "both",
            models: model === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
            staged,
            domain,
            group: group && { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
        };
    }

    /** Partitions a worker from the store, which removes its entry after three heartbeat intervals of silence. */
    cutFromStore(worker) {
        worker.isCutFromStore = true;
        worker.removal = setTimeout(() => this.store.remove("servers", worker.id), 3 * this.heartbeatMs);
    }

    reachStoreAgain(worker) {
        clearTimeout(worker.removal);
        worker.isCutFromStore = false;
        this.register(worker);
    }

    register(worker) {
        if (!worker.isAlive || worker.isCutFromStore) {
            return;
        }
        worker.beats += 1;
        const { service, address, zone, slots, state, beats } = worker;
        this.store.put("servers", worker.id, {
            ...(worker.domain === undefined ? { born: worker.born } : this.describe(worker)),
            service,
            address,
            zone,
            version: "1",
            slots,
            state,
            coldRemainingMs: 0,
            sequence: beats,
        });
    }

    /** Returns the workers that are in the group of a head, under the same name, epoch and list. */
    isWhole(head) {
        const { name, epoch, members } = head.group;
        return members.every(id => {
            const group = this.all.get(id)?.group;
            return this.all.get(id)?.isAlive && group?.name === name && group.epoch === epoch
                && group.members.join() === members.join();
        });
    }

    /** Returns true while a head serves, closes, or stands still and is not yet broken. */
    isHolding(head) {
        return head.isAlive && head.group?.rank === 0
            && (head.group.state === "open" || head.group.state === "closing");
    }

    /** Watches a head that is open: one that stands still for long breaks. */
    watchHead(head, group) {
        let stillSinceMs;
        const timer = setInterval(() => {
            if (head.group !== group || !this.isHolding(head)) {
                clearInterval(timer);
                return;
            }
            stillSinceMs = this.isWhole(head) ? undefined : stillSinceMs ?? performance.now();
            if (stillSinceMs !== undefined && performance.now() - stillSinceMs >= this.stallMs) {
                group.state = "broken";
                this.onEvent({ kind: "broken", worker: head.id, group: group.name, epoch: group.epoch });
                this.register(head);
            }
        }, 20);
    }

    async serve(worker, request, response) {
        const chunks = [];
        for await (const part of request) {
            chunks.push(part);
        }
        const body = Buffer.concat(chunks);
        const expected = request.headers["x-fescuehaven-expected-instance"];
        if (expected !== undefined && expected !== worker.id) {
            response.writeHead(421, {
                "x-fescuehaven-not-executed": "1",
                "x-fescuehaven-request-id": request.headers["x-fescuehaven-request-id"] ?? "",
            }).end();
            return;
        }
        if (request.url === "/report") {
            const report = worker.domain === undefined ? { born: worker.born } : this.describe(worker);
            const json = JSON.stringify({
                ...report,
                busy: false,
                sequence: worker.sequence,
                waiting: 0,
                running: 0,
                kvCacheUsed: 0,
                kvCacheTotal: 90000,
                handles: 0,
                pace: 1,
            });
            response.writeHead(200, { "content-type": "application/json" }).end(json);
            return;
        }
        if (request.url === "/order") {
            response.writeHead(this.order(worker, JSON.parse(body.toString()))).end();
            return;
        }
        await (worker.run ?? this.run).call(this, worker, request, response, body);
    }

    order(worker, order) {
        const code = this.apply(worker, order);
        this.onEvent({ kind: "order", worker: worker.id, code, ...order });
        return code;
    }

    apply(worker, order) {
        const { operation, precondition, group: name, epoch } = order;
        const { group } = worker;
        if (operation === "join") {
            if (group?.name === name && group.epoch === epoch && group.members.join() === order.members.join()) {
                return 200;
            }
            if (precondition !== undefined && precondition !== worker.sequence) {
                return 409;
            }
            if (epoch < worker.highestEpoch || (group?.name === name && group.epoch === epoch)) {
                return 412;
            }
            this.join(worker, order);
            return 202;
        }
        if (operation === "stage") {
            if (worker.staged.includes(order.model)) {
                return 200;
            }
            if (precondition !== undefined && precondition !== worker.sequence) {
                return 409;
            }
            worker.sequence += 1;
            const { loadTimeS } = this.models.get(order.model);
            setTimeout(() => {
                worker.staged = [order.model];
                this.register(worker);
            }, loadTimeS * (this.hasTraffic ? 1000 : 100));
            return 202;
        }
        if (group?.name !== name || group.epoch !== epoch) {
            return operation === "leave" ? 200 : 409;
        }
        if (precondition !== undefined && precondition !== worker.sequence) {
            return 409;
        }
        if (operation === "leave") {
            worker.sequence += 1;
            worker.group = undefined;
            this.register(worker);
            return 200;
        }
        if (operation === "open") {
            if (group.state === "open") {
                return 200;
            }
            if (group.rank !== 0 || group.state !== "ready") {
                return 409;
            }
            worker.sequence += 1;
            setTimeout(() => {
                if (worker.group === group && group.state === "ready") {
                    group.state = "open";
                    this.watchHead(worker, group);
                    this.register(worker);
                }
            }, this.formationMs);
            return 202;
        }
        if (operation === "close") {
            if (group.state !== "open") {
                return group.state === "ready" ? 200 : 409;
            }
            worker.sequence += 1;
            group.state = "closing";
            this.register(worker);
            this.endClosing(worker, group);
            return 202;
        }
        return 400;
    }

    /** A head that closes is ready again once its requests have ended. */
    endClosing(worker, group) {
        if (worker.group === group && group.state === "closing" && group.running === 0) {
            group.state = "ready";
            this.register(worker);
        }
    }

    join(worker, { group: name, epoch, model, members }) {
        worker.sequence += 1;
        worker.highestEpoch = Math.max(worker.highestEpoch, epoch);
        const { warmS, loadTimeS } = this.models.get(model);
        const isWarm = worker.lastModel === model;
        const isStaged = worker.staged.includes(model);
        const ms = isWarm ? WARM_JOIN_MS : isStaged ? warmS * 1000 : loadTimeS * (this.hasTraffic ? 1000 : 100);
        const group = { name, epoch, members, rank: members.indexOf(worker.id), state: "joining", running: 0 };
        worker.group = group;
        worker.model = model;
        setTimeout(() => {
            if (worker.group === group) {
                worker.staged = [model];
                worker.lastModel = model;
                group.state = "ready";
                this.register(worker);
            }
        }, ms);
        this.register(worker);
    }

    /** Runs a request: a stream at a head, one answer at a plain worker. */
    async run(worker, request, response, body) {
        const id = request.headers["x-fescuehaven-request-id"];
        const headers = { "x-fescuehaven-request-id": id, "x-fescuehaven-response-signature": `signed-${id}` };
        if (worker.domain === undefined) {
            this.onEvent({ kind: "run", worker: worker.id, id, bytes: body.length });
            await delay(20);
            response.writeHead(200, headers).end(`answer to ${id}`);
            return;
        }
        const { group } = worker;
        if (group?.rank !== 0) {
            response.writeHead(421, { ...headers, "x-fescuehaven-not-executed": "1" }).end();
            return;
        }
        if (group.state !== "open") {
            response.writeHead(503, { ...headers, "x-fescuehaven-not-executed": "1" }).end();
            return;
        }
        this.onEvent({
            kind: "run",
            worker: worker.id,
            id,
            group: group.name,
            epoch: group.epoch,
            isWhole: this.isWhole(worker),
        });
        group.running += 1;
        response.once("close", () => {
            group.running -= 1;
            this.endClosing(worker, group);
        });
        let isStarted = false;
        for (let event = Number(request.headers["last-event-id"] ?? 0) + 1; event <= 20; event++) {
            await delay(EVENT_MS);
            while (worker.group === group && group.state !== "broken" && !this.isWhole(worker) && !response.destroyed) {
                await delay(20);
            }
            if (worker.group !== group || group.state === "broken" || response.destroyed) {
                response.destroy();
                return;
            }
            if (!isStarted) {
                isStarted = true;
                response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
            }
            response.write(`id: ${event}\ndata: ${id} ${event}${event === 20 ? " last" : ""}\n\n`);
        }
        response.end();
    }
}

import { createServer } from "node:http";
import { sleep } from "./gateways.mjs";

const HEARTBEAT_MS = 1200;
/** An entry is removed after three heartbeat intervals of silence. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const WARM_JOIN_MS = 200;
const STALL_MS = 4000;
const REPORT_LAG_MS = 200;
const EVENT_MS = 60;

/** Model workers, which register in the store, take orders and serve streams as PROTOCOL.md says. */
export class Fleet {
    engines = new Map();
    /** What broke the rules TWO and PARTIAL, as the workers saw it. */
    broken = [];
    /** Runs that began, by request id. */
    runs = [];
    orders = [];

    constructor({ store, service, models, formationMs = 300, eventCount = 10, log = () => undefined }) {
        Object.assign(this, { store, service, models, formationMs, eventCount, log });
        this.expiry = setInterval(() => this.expire(), 100);
    }

    async add(id, { zone = "a", domain = 0, staged = [] } = {}) {
        const engine = new Engine(this, { id, zone, domain, staged });
        this.engines.set(id, engine);
        await engine.start();
        return engine;
    }

    /** Removes the entries of workers that have been silent for too long, at times also while the store is down. */
    expire() {
        if (this.store.mode !== "up") {
            return;
        }
        for (const engine of this.engines.values()) {
            if (performance.now() - engine.lastWrittenAtMs > EXPIRY_MS && this.store.get("servers", engine.id)) {
                this.store.remove("servers", engine.id);
            }
        }
    }

    close() {
        clearInterval(this.expiry);
        this.engines.forEach(engine => engine.crash());
    }

    /**
     * Returns the groups that count the worker as a member and whose head is open or closing, or stands still and is not yet
     * broken. That a member has left makes the head stand still; it notices nothing else.
     */
    servingGroupsOf({ id, joined }) {
        return [...this.engines.values()]
            .filter(({ isAlive, group }) => isAlive && (group?.state === "open" || group?.state === "closing"))
            .filter(head => head.group.members[0] === head.id && head.group.members.includes(id))
            .map(({ group }) => group)
            .filter(({ name, epoch }) => joined.has(`${name}@${epoch}`));
    }
}

/** One model worker. */
class Engine {
    sequence = 0;
    beats = 0;
    isAlive = false;
    isCutFromStore = false;
    highestEpoch = 0;
    lastWrittenAtMs = -Infinity;
    sockets = new Set();
    /** Groups that the worker has joined since its start. */
    joined = new Set();
    states = [];
    running = 0;

    constructor(fleet, { id, zone, domain, staged }) {
        Object.assign(this, { fleet, id, zone, domain, staged });
    }

    async start() {
        this.born = Date.now();
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.isAlive = true;
        this.beat = setInterval(() => this.register(), HEARTBEAT_MS);
        this.changed();
    }

    /** Ends the worker at once, as SIGKILL would. */
    crash() {
        this.isAlive = false;
        clearInterval(this.beat);
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.server.close();
    }

    /** What the worker says of itself. */
    state() {
        const { group, model } = this;
        const rank = group?.members.indexOf(this.id);
        return {
            born: this.born,
            stage: "both",
            models: model ? [{ name: model, version: 1, adapters: [] }] : [],
            staged: [...this.staged],
            domain: this.domain,
            group: group ? { name: group.name, epoch: group.epoch, rank, state: group.state } : null,
        };
    }

    changed() {
        this.states.push({ atMs: performance.now(), state: { ...this.state(), sequence: this.sequence } });
        this.register();
    }

    register() {
        if (!this.isAlive || this.isCutFromStore) {
            return;
        }
        this.beats += 1;
        const { service } = this.fleet;
        const { address, zone } = this;
        const entry = { service, address, zone, version: "v1", slots: 18, state: "ready", coldRemainingMs: 0 };
        if (this.fleet.store.put("servers", this.id, { ...entry, ...this.state(), sequence: this.beats })) {
            this.lastWrittenAtMs = performance.now();
        }
    }

    async serve(request, response) {
        let text = "";
        for await (const part of request) {
            text += part;
        }
        const expected = request.headers["x-fescuehaven-expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "x-fescuehaven-instance-identifier": this.id }).end();
        }
        else if (request.url === "/report") {
            const laggedMs = performance.now() - REPORT_LAG_MS;
            const { state } = this.states.findLast(({ atMs }) => atMs <= laggedMs) ?? this.states[0];
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({ ...state, pace: 1 }));
        }
        else if (request.url === "/order") {
            const order = JSON.parse(text);
            const status = this.order(order);
            this.fleet.orders.push({ atMs: performance.now(), engine: this.id, ...order, status });
            this.fleet.log("order", { engine: this.id, ...order, status });
            response.writeHead(status).end();
        }
        else {
            await this.stream(request, response);
        }
    }

    order(order) {
        if (order.precondition !== undefined && order.precondition !== this.sequence) {
            return 409;
        }
        const status = this[`on_${order.operation}`]?.(order) ?? 400;
        if (status === 202) {
            this.sequence += 1;
            this.changed();
        }
        return status;
    }

    on_stage({ model }) {
        if (this.staged.includes(model)) {
            return 200;
        }
        const { loadTimeS } = this.fleet.models.find(({ name }) => name === model);
        void sleep(loadTimeS * 1000).then(() => {
            this.staged = [model];
            this.changed();
        });
        return 202;
    }

    on_join({ group, epoch, model, members }) {
        const { fleet } = this;
        const isSame = this.group?.name === group && this.group.epoch === epoch;
        if (epoch < this.highestEpoch || (isSame && this.group.members.join() !== members.join())) {
            return 412;
        }
        if (isSame) {
            return 200;
        }
        for (const { name, epoch: ofEpoch, state, members: [head] } of fleet.servingGroupsOf(this)) {
            if (name !== group) {
                const text =
                    `${this.id} takes a join of ${group}@${epoch} while ${head}, the head of ${name}@${ofEpoch}, is ${state}`;
                fleet.broken.push(`TWO: ${text}`);
            }
        }
        this.joined.add(`${group}@${epoch}`);
        const { loadTimeS, warmS } = fleet.models.find(({ name }) => name === model);
        const isStaged = this.staged.includes(model);
        const joinMs = this.lastModel === model ? WARM_JOIN_MS : 1000 * (isStaged ? warmS : loadTimeS);
        this.highestEpoch = epoch;
        const joined = { name: group, epoch, members, model, state: "joining", readyMembers: new Set() };
        this.group = joined;
        this.model = model;
        void sleep(joinMs).then(() => {
            if (this.isAlive && this.group === joined) {
                this.lastModel = model;
                this.staged = [model];
                joined.state = "ready";
                this.wasReadyIn ??= new Set();
                this.wasReadyIn.add(`${group}@${epoch}@${members.join()}`);
                this.changed();
            }
        });
        return 202;
    }

    on_open({ group, epoch }) {
        if (this.group?.name !== group || this.group.epoch !== epoch) {
            return 409;
        }
        const opening = this.group;
        if (opening.state === "open") {
            return 200;
        }
        if (opening.state !== "ready" || opening.members[0] !== this.id) {
            return 409;
        }
        void sleep(this.fleet.formationMs).then(() => {
            if (this.isAlive && this.group === opening) {
                opening.state = "open";
                this.changed();
                void this.watchMembers(opening);
            }
        });
        return 202;
    }

    on_close({ group, epoch }) {
        if (this.group?.name !== group || this.group.epoch !== epoch) {
            return 409;
        }
        if (this.group.state !== "open") {
            return 200;
        }
        this.group.state = this.running > 0 ? "closing" : "ready";
        return 202;
    }

    on_leave({ group, epoch }) {
        if (this.group?.name !== group || this.group.epoch !== epoch) {
            return this.group ? 409 : 200;
        }
        this.group = undefined;
        this.model = undefined;
        return 202;
    }

    /** True if the worker is the head of an open group. */
    leads() {
        return this.isAlive && this.group?.state === "open" && this.group.members[0] === this.id;
    }

    /** True if a member has died, has left or has joined again. */
    standsStill(group) {
        return group.members.some(id => {
            const member = this.fleet.engines.get(id);
            return !member?.isAlive || member.group?.name !== group.name || member.group.epoch !== group.epoch;
        });
    }

    /** Breaks the group after it has stood still for `STALL_MS`. */
    async watchMembers(group) {
        let soundAtMs = performance.now();
        while (this.isAlive && this.group === group && group.state !== "broken") {
            if (!this.standsStill(group)) {
                soundAtMs = performance.now();
            }
            else if (performance.now() - soundAtMs >= STALL_MS) {
                group.state = "broken";
                this.changed();
            }
            await sleep(20);
        }
    }

    async stream(request, response) {
        const { fleet, group } = this;
        const id = request.headers["x-fescuehaven-request-id"];
        const headers = { "x-fescuehaven-request-id": id };
        if (!group || group.members[0] !== this.id) {
            response.writeHead(421, { ...headers, "x-fescuehaven-instance-identifier": this.id }).end();
            return;
        }
        if (group.state !== "open") {
            response.writeHead(503, { ...headers, "x-fescuehaven-not-executed": "1" }).end();
            return;
        }
        this.running += 1;
        const run = { id, engine: this.id, group: `${group.name}@${group.epoch}`, atMs: performance.now() };
        fleet.runs.push(run);
        const { size } = fleet.models.find(({ name }) => name === group.model);
        const key = `${group.name}@${group.epoch}@${group.members.join()}`;
        const neverReady = group.members.filter(member => !fleet.engines.get(member)?.wasReadyIn?.has(key));
        if (group.members.length !== size || neverReady.length > 0) {
            fleet.broken.push(`PARTIAL: ${id} runs in ${run.group}, never ready: ${neverReady.join(" ")}`);
        }
        for (let event = Number(request.headers["last-event-id"] ?? 0) + 1; event <= fleet.eventCount; event++) {
            do {
                await sleep(EVENT_MS);
            }
            while (this.isAlive && this.group === group && group.state !== "broken" && this.standsStill(group));
            if (!this.isAlive || this.group !== group || group.state === "broken" || response.destroyed) {
                response.destroy();
                break;
            }
            if (!response.headersSent) {
                response.writeHead(200, {
                    ...headers,
                    "content-type": "text/event-stream",
                    "x-fescuehaven-response-signature": `signed.${id}`,
                });
            }
            response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
            if (event === fleet.eventCount) {
                run.isComplete = true;
                response.end();
            }
        }
        this.running -= 1;
        if (this.running === 0 && group.state === "closing") {
            group.state = "ready";
            this.changed();
        }
    }
}

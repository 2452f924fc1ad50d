import type { StoredObject, VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import {
    ManualClock,
    MemoryEngines,
    MemoryEventRecorder,
    MemoryNetwork,
    SeededRandom,
    SilentLogger,
} from "@fescuehaven/testing";
import { type ConfigurationView, EvidenceExchange, type MemberReport, type Peer } from "../../src/index.js";

const ZONE = "a";

interface RunningProcess {
    evidence: EvidenceExchange;
    engines: MemoryEngines;
    events: MemoryEventRecorder;
    probes: number;
    stop: AbortController;
}

/** Processes of one zone, each with an EvidenceExchange, and one group "g" that spans the VMs. */
export class EvidenceRig {
    readonly clock = ManualClock.create();
    readonly network = MemoryNetwork.create(this.clock);
    readonly processes = new Map<string, RunningProcess>();
    readonly reports = new Map<string, MemberReport>();
    ledger: ZoneLedger;

    private readonly peers: Peer[];
    private readonly vms: VmRecord[];

    private constructor(names: readonly string[], members: readonly string[]) {
        this.peers = names.map(name => ({
            name,
            zone: ZONE,
            role: name.startsWith("router") ? "router" : "controller",
            url: `http://${name}`,
        }));
        this.vms = members.map(vmOf);
        this.ledger = ledgerOf(members);
        members.forEach((vm, rank) => this.reports.set(vm, reportOf(vm, rank)));
    }

    /** Creates the rig. Names start with `router` or `controller`. */
    static create(names: readonly string[], members: readonly string[]): EvidenceRig {
        return new EvidenceRig(names, members);
    }

    /** Starts processes by name. */
    start(...names: string[]): void {
        names.forEach(name => this.startOne(name));
    }

    /** Returns the evidence of a process. */
    evidence(name: string): EvidenceExchange {
        return this.process(name).evidence;
    }

    /** Returns a running process. */
    process(name: string): RunningProcess {
        const process = this.processes.get(name);
        if (!process) {
            throw new Error(`${name} is not started`);
        }
        return process;
    }

    /** Stops a process at once, like a crash. */
    kill(name: string): void {
        this.network.close(name);
        this.process(name).stop.abort();
    }

    /** Changes the report of a member. */
    report(vm: string, change: Partial<MemberReport>): void {
        const report = this.reports.get(vm);
        if (report) {
            Object.assign(report, change);
        }
    }

    /** Makes a member silent for the given processes, or for all. */
    silence(vm: string, ...names: string[]): void {
        const processes = names.length > 0 ? names.map(name => this.process(name)) : [...this.processes.values()];
        processes.forEach(process => process.engines.silent.add(urlOf(vm)));
    }

    /** Lets a silent member respond again to the given processes, or to all. */
    unsilence(vm: string, ...names: string[]): void {
        const processes = names.length > 0 ? names.map(name => this.process(name)) : [...this.processes.values()];
        processes.forEach(process => process.engines.silent.delete(urlOf(vm)));
    }

    /** Stops everything. */
    async stop(): Promise<void> {
        this.processes.forEach(process => process.stop.abort());
        await this.clock.advance(0);
    }

    private startOne(name: string): void {
        const { clock, network, vms } = this;
        const engines = MemoryEngines.create();
        this.reports.forEach((report, vm) => engines.reports.set(urlOf(vm), report));
        const events = MemoryEventRecorder.create();
        const evidence = EvidenceExchange.create({
            process: name,
            zone: ZONE,
            probes: name.startsWith("router"),
            configuration: this.configuration(),
            vms: { version: 1, list: () => vms, get: vm => vms.find(record => record.name === vm) },
            peers: { list: () => this.peers.filter(peer => peer.name !== name) },
            clients: network.clientsOf(name),
            control: engines,
            clock,
            random: SeededRandom.create(this.processes.size, name),
            logger: SilentLogger.create(),
            events,
        });
        const process = { evidence, engines, events, probes: 0, stop: new AbortController() };
        engines.onReport = () => process.probes += 1;
        network.listen(name, router => evidence.registerOn(router));
        this.processes.set(name, process);
        void evidence.run(process.stop.signal);
    }

    private configuration(): ConfigurationView {
        return {
            version: 1,
            complete: true,
            get: kind =>
                kind === "zone-ledger"
                    ? { kind, name: ZONE, revision: 1, value: this.ledger } as unknown as StoredObject<never>
                    : undefined,
            list: () => [],
            changed: () => Promise.resolve(),
        };
    }
}

function vmOf(name: string): VmRecord {
    return {
        name,
        region: "r",
        zone: ZONE,
        fabricDomain: "f",
        role: "engine",
        address: name,
        enginePort: 80,
        accelerators: 8,
        state: "live",
    };
}

function urlOf(vm: string): string {
    return `http://${vm}:80`;
}

function ledgerOf(members: readonly string[]): ZoneLedger {
    const claims = members.map((vm, rank) => [vm, { group: "g", epoch: 7, rank, state: "held" as const }]);
    return {
        nonce: "n",
        leaseFence: 1,
        lastEpoch: 7,
        claims: Object.fromEntries(claims) as ZoneLedger["claims"],
        groups: { g: { epoch: 7, modelVersion: "m1", fabricDomain: "f", members: [...members] } },
    };
}

function reportOf(vm: string, rank: number): MemberReport {
    return {
        vm,
        bootId: `${vm}-boot-1`,
        group: "g",
        epoch: 7,
        modelVersion: "m1",
        rank,
        phase: "ready",
        runningRequests: 0,
        waitingRequests: 0,
    };
}

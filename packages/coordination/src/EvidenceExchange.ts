import type { ConnectRouter } from "@connectrpc/connect";
import type { VmRecord } from "@fescuehaven/platform";
import { EvidenceService } from "@fescuehaven/protocol";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { setMaxListeners } from "node:events";
import { EngineProber } from "./EngineProber.js";
import { EvidenceReceiver } from "./EvidenceReceiver.js";
import { EvidenceSender } from "./EvidenceSender.js";
import { evidenceTimes } from "./evidenceTimes.js";
import type { GroupEvidence } from "./GroupEvidence.js";
import { GroupReadiness } from "./GroupReadiness.js";
import type { MemberObservation } from "./MemberObservation.js";
import { ObservationTable } from "./ObservationTable.js";
import { PauseDetector } from "./PauseDetector.js";
import type { Peer } from "./Peer.js";
import type { ConfigurationView } from "./ports/ConfigurationView.js";
import type { EngineControl } from "./ports/EngineControl.js";
import type { EvidenceView } from "./ports/EvidenceView.js";
import type { PeerClients } from "./ports/PeerClients.js";
import type { PeerView } from "./ports/PeerView.js";
import type { VmView } from "./ports/VmView.js";

interface EvidenceExchangeOptions {
    /** Name of this process. */
    process: string;
    /** Availability zone of this process; only its engines are probed. */
    zone: string;
    /** True for routers. If false, probes only VMs of which no router has fresh observations. */
    probes: boolean;
    configuration: ConfigurationView;
    vms: VmView;
    peers: PeerView;
    clients: PeerClients;
    control: EngineControl;
    clock: Clock;
    random: Random;
    logger: Logger;
    events: EventRecorder;
}

interface RunningReceiver {
    receiver: EvidenceReceiver;
    url: string;
    stop: AbortController;
}

/** Readiness evidence of a zone, from the probes of this process and of the zone's other routers. */
export class EvidenceExchange implements EvidenceView {
    private readonly table = ObservationTable.create(evidenceTimes.ttlMs);
    private readonly receivers = new Map<string, RunningReceiver>();
    private readonly pauseDetector: PauseDetector;
    private readonly prober: EngineProber;
    private readonly sender: EvidenceSender;
    private readonly readiness: GroupReadiness;
    private readonly stopping = new AbortController();

    private constructor(private readonly options: EvidenceExchangeOptions) {
        const { clock, random, vms } = options;
        this.pauseDetector = PauseDetector.create({ clock, thresholdMs: evidenceTimes.pauseThresholdMs });
        this.prober = EngineProber.create({ ...options, table: this.table });
        this.sender = EvidenceSender.create({ incarnation: random.uniqueId(), table: this.table, clock });
        this.readiness = GroupReadiness.create({
            ttlMs: evidenceTimes.ttlMs,
            vm: name => vms.get(name),
            observation: vm => this.observation(vm),
        });
    }

    /** Creates an exchange without evidence; `run` gathers it. */
    static create(options: EvidenceExchangeOptions): EvidenceExchange {
        return new EvidenceExchange(options);
    }

    /** Returns evidence for a group if it is valid now, otherwise undefined. */
    ready(group: string): GroupEvidence | undefined {
        this.checkForPause();
        const ledger = this.ledger();
        return ledger && this.readiness.evaluate(ledger, group, this.options.clock.monotonicMs());
    }

    /** Returns the evidence of every group that has valid evidence now. */
    readyGroups(): GroupEvidence[] {
        const names = Object.keys(this.ledger()?.groups ?? {});
        return names.map(name => this.ready(name)).filter(evidence => evidence !== undefined);
    }

    /** Returns the newest observation of a VM, however old. */
    observation(vm: string): MemberObservation | undefined {
        return this.table.newest(vm, this.options.clock.monotonicMs());
    }

    /** Drops the observations of a VM and probes it at the next tick. */
    invalidate(vm: string): void {
        this.table.invalidate(vm, this.options.clock.monotonicMs());
        this.prober.probeNext(vm);
    }

    /** Probes, receives and sends until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        // Every probe in progress listens on the signal.
        setMaxListeners(0, signal);
        this.pauseDetector.tick();
        while (!signal.aborted) {
            this.checkForPause();
            this.pauseDetector.tick();
            this.updateReceivers(signal);
            this.prober.tick(this.engines(), vm => this.ledger()?.claims[vm] !== undefined, this.liveRouters(), signal);
            await this.options.clock.sleep(evidenceTimes.tickMs, signal);
        }
        this.stopping.abort();
        this.stopReceivers();
    }

    /** Serves this process's observations to peers. */
    registerOn(router: ConnectRouter): void {
        router.service(EvidenceService, {
            watchEvidence: (_request, context) =>
                this.sender.stream(AbortSignal.any([context.signal, this.stopping.signal])),
            sampleClock: () => this.sender.sampleClock(),
        });
    }

    /**
     * After a pause, drops all observations, and restarts the streams so that what peers sent meanwhile is not read.
     */
    private checkForPause(): void {
        const pausedMs = this.pauseDetector.pausedMs();
        if (pausedMs === 0) {
            return;
        }
        this.table.invalidateAll(this.options.clock.monotonicMs());
        this.stopReceivers();
        this.pauseDetector.tick();
        this.options.events.record({ kind: "process-paused", durationMs: Math.round(pausedMs) });
        this.options.logger.warn(`The process was paused for ${Math.round(pausedMs)} ms; dropped all evidence.`);
    }

    private updateReceivers(signal: AbortSignal): void {
        const wanted = this.zoneRouters();
        for (const [name, running] of this.receivers) {
            if (!wanted.some(peer => peer.name === name && peer.url === running.url)) {
                running.stop.abort();
                this.receivers.delete(name);
            }
        }
        wanted.filter(peer => !this.receivers.has(peer.name)).forEach(peer => this.startReceiver(peer, signal));
    }

    private startReceiver(peer: Peer, signal: AbortSignal): void {
        const stop = new AbortController();
        const receiver = EvidenceReceiver.create({ ...this.options, peer, table: this.table });
        this.receivers.set(peer.name, { receiver, url: peer.url, stop });
        void receiver.run(AbortSignal.any([signal, stop.signal]));
    }

    private stopReceivers(): void {
        this.receivers.forEach(running => running.stop.abort());
        this.receivers.clear();
    }

    private zoneRouters(): Peer[] {
        return this.options.peers.list().filter(peer => peer.zone === this.options.zone && peer.role === "router");
    }

    private liveRouters(): string[] {
        return [...this.receivers].filter(([, running]) => running.receiver.live).map(([name]) => name).sort();
    }

    private engines(): VmRecord[] {
        return this.options.vms.list().filter(vm => vm.role === "engine" && vm.zone === this.options.zone);
    }

    private ledger(): ZoneLedger | undefined {
        return this.options.configuration.get("zone-ledger", this.options.zone)?.value;
    }
}

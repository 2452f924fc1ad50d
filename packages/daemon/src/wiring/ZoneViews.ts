import type { ConnectRouter } from "@connectrpc/connect";
import {
    ConfigurationSync,
    ConnectPeerClients,
    EvidenceExchange,
    HttpEngineControl,
    PeerDirectory,
    VmListSync,
} from "@fescuehaven/coordination";
import type { TlsIdentity } from "../adapters/TlsIdentity.js";
import { peersOnVm } from "../util/peersOnVm.js";
import type { DaemonContext } from "./DaemonContext.js";

interface ZoneViewsOptions {
    context: DaemonContext;
    /** Whether this process probes a share of the engines; true for routers. */
    probes: boolean;
    /** Certificates for connections between the system's processes; left out: no encryption. */
    identity?: TlsIdentity;
}

/** A daemon's view of the rest of the system: VMs, peers, active configuration, readiness evidence. */
export class ZoneViews {
    readonly vms: VmListSync;
    readonly peers: PeerDirectory;
    readonly clients: ConnectPeerClients;
    readonly engines: HttpEngineControl;
    readonly configuration: ConfigurationSync;
    readonly evidence: EvidenceExchange;

    private constructor(options: ZoneViewsOptions) {
        const { context } = options;
        const { settings, clock, random, events } = context;
        const { process, zone, localAddress } = settings;
        this.vms = VmListSync.create({
            directory: context.vmDirectory,
            clock,
            random,
            logger: context.logger("vms"),
        });
        this.peers = PeerDirectory.create({
            process,
            configured: settings.peers,
            vms: this.vms,
            peersOf: vm => peersOnVm(settings, vm),
        });
        const { identity } = options;
        this.clients = ConnectPeerClients.create({ localAddress, tls: identity && (() => identity.material) });
        identity?.onChange(() => this.clients.abandonAll());
        this.engines = HttpEngineControl.create({ localAddress });
        this.configuration = ConfigurationSync.create({
            process,
            zone,
            store: context.store,
            peers: this.peers,
            clients: this.clients,
            clock,
            random,
            logger: context.logger("configuration"),
            events,
        });
        this.evidence = EvidenceExchange.create({
            process,
            zone,
            probes: options.probes,
            configuration: this.configuration,
            vms: this.vms,
            peers: this.peers,
            clients: this.clients,
            control: this.engines,
            clock,
            random,
            logger: context.logger("evidence"),
            events,
        });
    }

    /** Creates empty views; `run` fills them. */
    static create(options: ZoneViewsOptions): ZoneViews {
        return new ZoneViews(options);
    }

    /** Adds the services that replicate the views between peers to the peer server. */
    registerOn(router: ConnectRouter): void {
        this.configuration.registerOn(router);
        this.evidence.registerOn(router);
    }

    /** Keeps the views up to date until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.vms.run(signal), this.configuration.run(signal), this.evidence.run(signal)]);
    }

    /** Returns the state for operators: the active objects, since when each is active, and the ready groups. */
    describe(): Record<string, unknown> {
        const activeObjects = this.configuration.digest().map(entry => ({
            kind: entry.kind,
            name: entry.name,
            revision: entry.revision,
            removed: entry.deleted,
            since: this.configuration.activeRevision(entry)?.since.toISOString(),
        }));
        return {
            configurationComplete: this.configuration.complete,
            platformAvailable: this.configuration.platformAvailable,
            inForce: activeObjects,
            refused: this.configuration.refused(),
            readyGroups: this.evidence.readyGroups().map(({ group, epoch }) => ({ group, epoch })),
        };
    }

    /** Closes all connections to peers and engines. */
    async close(): Promise<void> {
        this.clients.close();
        await this.engines.close();
    }
}

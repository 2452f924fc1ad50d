import type { VmRecord } from "@fescuehaven/platform";
import type { z } from "zod";
import type { ProcessSpec } from "../launcher/ProcessSpec.js";
import type { EntryVm } from "./EntryVm.js";
import { shortName } from "./shortName.js";
import { type TopologyOptions, topologyOptionsSchema } from "./TopologyOptions.js";

/** Last octets of the IP addresses in a zone's network: of the first entry VM, the first engine VM and the service. */
const FIRST_ENTRY_OCTET = 1;
const FIRST_ENGINE_OCTET = 50;
const SERVICE_OCTET = 40;

/** Port of each endpoint, as an offset from the base port. */
const PORT_OFFSETS = {
    platform: 0,
    router: 1,
    routerPeers: 2,
    controller: 3,
    controllerPeers: 4,
    engine: 5,
    service: 6,
};

/** Number of accelerators of each engine VM. */
const ACCELERATORS = 8;

/** The processes of a complete system on loopback, and their settings. Each VM has its own IP address. */
export class SystemTopology {
    /** Base URL of the platform. */
    readonly platformUrl: string;
    /** All entry VMs, grouped by zone. */
    readonly entryVms: readonly EntryVm[];
    /** All engine VMs, as listed by the platform. */
    readonly engineVms: readonly VmRecord[];

    private constructor(readonly options: TopologyOptions) {
        this.platformUrl = `http://127.${options.octet}.0.1:${options.basePort + PORT_OFFSETS.platform}`;
        this.entryVms = options.zones.flatMap((zone, index) => this.entryVmsOf(zone, index));
        this.engineVms = options.zones.flatMap((zone, index) => this.engineVmsOf(zone, index));
    }

    /** Creates a topology; omitted options have their defaults. */
    static create(options: z.input<typeof topologyOptionsSchema>): SystemTopology {
        return new SystemTopology(topologyOptionsSchema.parse(options));
    }

    /** Returns all VMs, as listed by the platform. */
    vmRecords(): VmRecord[] {
        const entries = this.entryVms.map((vm): VmRecord => ({
            name: vm.name,
            region: this.options.region,
            zone: vm.zone,
            fabricDomain: `domain-${shortName(vm.zone)}-entry`,
            role: "entry",
            address: vm.address,
            enginePort: 0,
            accelerators: 0,
            state: "live",
        }));
        return [...entries, ...this.engineVms];
    }

    /** Returns the base URL of a zone's endpoint of the plain service. */
    serviceUrl(zone: string): string {
        const address = this.address(this.options.zones.indexOf(zone), SERVICE_OCTET);
        return `http://${address}:${this.options.basePort + PORT_OFFSETS.service}`;
    }

    /** Returns the base URL of a VM's engine. Throws if there is no such VM. */
    engineUrl(vm: string): string {
        const record = this.engineVms.find(candidate => candidate.name === vm);
        if (!record) {
            throw new Error(`No engine VM ${vm}.`);
        }
        return `http://${record.address}:${record.enginePort}`;
    }

    /** Returns the stand-in processes: the platform, the engines, and one service endpoint for each zone. */
    standins(): ProcessSpec[] {
        return [this.platformSpec(), ...this.engineSpecs(), ...this.options.zones.map(zone => this.serviceSpec(zone))];
    }

    /** Returns the processes of all routers and controllers. */
    daemons(): ProcessSpec[] {
        return this.entryVms.flatMap(vm => [this.routerSpec(vm), this.controllerSpec(vm)]);
    }

    /** Returns the router process of an entry VM. */
    routerSpec(vm: EntryVm): ProcessSpec {
        return this.daemonSpec("fescue-router", vm, vm.router, this.options.router);
    }

    /** Returns the controller process of an entry VM. */
    controllerSpec(vm: EntryVm): ProcessSpec {
        return this.daemonSpec("fescue-controller", vm, vm.controller, this.options.controller);
    }

    /** Returns the name of the process that hosts a VM's engine. */
    engineProcessOf(vm: string): string {
        const zone = this.engineVms.find(candidate => candidate.name === vm)?.zone ?? "";
        const names = { one: "engines", zone: `engines-${shortName(zone)}`, vm: `engine-${vm}` };
        return names[this.options.engineProcesses];
    }

    private daemonSpec(binary: string, vm: EntryVm, endpoint: EntryVm["router"], extra: object): ProcessSpec {
        const settings = {
            process: endpoint.name,
            region: this.options.region,
            zone: vm.zone,
            localAddress: vm.address,
            listen: hostAndPort(endpoint.url),
            peerListen: hostAndPort(endpoint.peerUrl),
            peers: this.peersExcept(endpoint.name),
            platform: { url: this.platformUrl },
            logging: { level: this.options.logLevel },
            ...extra,
        };
        return { name: endpoint.name, binary, settings, readyUrl: `${endpoint.url}/readyz` };
    }

    private peersExcept(name: string): object[] {
        return this.entryVms
            .flatMap(vm => [
                { name: vm.router.name, zone: vm.zone, role: "router", url: vm.router.peerUrl },
                { name: vm.controller.name, zone: vm.zone, role: "controller", url: vm.controller.peerUrl },
            ])
            .filter(peer => peer.name !== name);
    }

    private platformSpec(): ProcessSpec {
        const settings = { listen: hostAndPort(this.platformUrl), vms: this.vmRecords(), ...this.options.platform };
        return { name: "platform", binary: "standin-platform", settings, readyUrl: `${this.platformUrl}/readyz` };
    }

    private serviceSpec(zone: string): ProcessSpec {
        const url = this.serviceUrl(zone);
        const settings = { listen: hostAndPort(url), ...this.options.service };
        return { name: `service-${shortName(zone)}`, binary: "standin-service", settings, readyUrl: `${url}/readyz` };
    }

    private engineSpecs(): ProcessSpec[] {
        const names = [...new Set(this.engineVms.map(vm => this.engineProcessOf(vm.name)))];
        return names.map((name, index) => {
            const vms = this.engineVms.filter(vm => this.engineProcessOf(vm.name) === name);
            return {
                name,
                binary: "standin-engine",
                settings: {
                    vms: vms.map(vm => ({ name: vm.name, host: vm.address, port: vm.enginePort })),
                    weightStoreGiBPerSecond: this.options.weightStoreGiBPerSecond,
                    seed: index + 1,
                    behaviour: this.options.engineBehaviour,
                },
                readyUrl: `http://${vms[0]?.address}:${vms[0]?.enginePort}/readyz`,
            };
        });
    }

    private entryVmsOf(zone: string, zoneIndex: number): EntryVm[] {
        return Array.from({ length: this.options.entryVmsPerZone }, (_, index) => {
            const address = this.address(zoneIndex, FIRST_ENTRY_OCTET + index);
            const url = (port: number) => `http://${address}:${this.options.basePort + port}`;
            const suffix = `${shortName(zone)}-${index + 1}`;
            return {
                name: `entry-${suffix}`,
                zone,
                address,
                router: {
                    name: `router-${suffix}`,
                    url: url(PORT_OFFSETS.router),
                    peerUrl: url(PORT_OFFSETS.routerPeers),
                },
                controller: {
                    name: `controller-${suffix}`,
                    url: url(PORT_OFFSETS.controller),
                    peerUrl: url(PORT_OFFSETS.controllerPeers),
                },
            };
        });
    }

    private engineVmsOf(zone: string, zoneIndex: number): VmRecord[] {
        const { engineVmsPerZone, vmsPerFabricDomain, region, basePort } = this.options;
        return Array.from({ length: engineVmsPerZone }, (_, index) => ({
            name: `vm-${shortName(zone)}-${index + 1}`,
            region,
            zone,
            fabricDomain: `domain-${shortName(zone)}-${Math.floor(index / vmsPerFabricDomain) + 1}`,
            role: "engine" as const,
            address: this.address(zoneIndex, FIRST_ENGINE_OCTET + index),
            enginePort: basePort + PORT_OFFSETS.engine,
            accelerators: ACCELERATORS,
            state: "live" as const,
        }));
    }

    private address(zoneIndex: number, lastOctet: number): string {
        return `127.${this.options.octet}.${zoneIndex + 1}.${lastOctet}`;
    }
}

function hostAndPort(url: string): { host: string; port: number; } {
    const { hostname, port } = new URL(url);
    return { host: hostname, port: Number(port) };
}

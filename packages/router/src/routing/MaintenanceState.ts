import type { ConfigurationView, VmView } from "@fescuehaven/coordination";
import type { MaintenanceIntent } from "@fescuehaven/resources";

type TargetKind = MaintenanceIntent["target"]["kind"];

interface MaintenanceStateOptions {
    configuration: ConfigurationView;
    vms: VmView;
}

/** Tracks what is out of service by maintenance intents, and which VMs are leaving. */
export class MaintenanceState {
    private seenVersion = -1;
    private readonly targets: Record<TargetKind, Set<string>> = {
        "vm": new Set(),
        "fabric-domain": new Set(),
        "availability-zone": new Set(),
    };

    private constructor(private readonly options: MaintenanceStateOptions) {}

    /** Creates the state from the intents in the active configuration. */
    static create(options: MaintenanceStateOptions): MaintenanceState {
        return new MaintenanceState(options);
    }

    /** Returns true while any intent takes the availability zone out of service. */
    isZoneOutOfService(zone: string): boolean {
        this.refresh();
        return this.targets["availability-zone"].has(zone);
    }

    /** Returns true while an intent takes the VM or its fabric domain out of service, or the VM is leaving. */
    isVmOutOfService(name: string): boolean {
        this.refresh();
        const vm = this.options.vms.get(name);
        return this.targets.vm.has(name)
            || vm?.state === "leaving"
            || (vm !== undefined && this.targets["fabric-domain"].has(vm.fabricDomain));
    }

    private refresh(): void {
        if (this.seenVersion === this.options.configuration.version) {
            return;
        }
        this.seenVersion = this.options.configuration.version;
        Object.values(this.targets).forEach(names => names.clear());
        for (const { value } of this.options.configuration.list("maintenance-intent")) {
            this.targets[value.target.kind].add(value.target.name);
        }
    }
}

import type { ConfigurationView, VmView } from "@fescuehaven/coordination";
import type { MaintenanceIntent } from "@fescuehaven/resources";

type TargetKind = MaintenanceIntent["target"]["kind"];

interface MaintenanceStateOptions {
    configuration: ConfigurationView;
    vms: VmView;
}

/** What operators have taken out of service, and what leaves by itself. */
export class MaintenanceState {
    private seenVersion = -1;
    private readonly targets: Record<TargetKind, Set<string>> = {
        "vm": new Set(),
        "fabric-domain": new Set(),
        "availability-zone": new Set(),
    };

    private constructor(private readonly options: MaintenanceStateOptions) {}

    /** Creates the state over the intents in force. */
    static create(options: MaintenanceStateOptions): MaintenanceState {
        return new MaintenanceState(options);
    }

    /** True while any intent takes the availability zone out. */
    isZoneOut(zone: string): boolean {
        this.refresh();
        return this.targets["availability-zone"].has(zone);
    }

    /** True while the VM or its fabric domain is out by an intent, or the VM is leaving. */
    isVmOut(name: string): boolean {
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

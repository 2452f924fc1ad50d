import type { MemberReport } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";

const ZONE = "zone-a";
const EPOCH = 1;

/** An availability zone whose VMs are all ready and claimed by groups of equal size. */
interface ZoneFixture {
    zone: string;
    vms: VmRecord[];
    ledger: ZoneLedger;
    reports: MemberReport[];
}

/** Creates a zone of `vmCount` VMs in groups of `groupSize` members. */
export function createZoneFixture(vmCount: number, groupSize: number): ZoneFixture {
    const fixture: ZoneFixture = {
        zone: ZONE,
        vms: [],
        reports: [],
        ledger: { nonce: "n", leaseFence: 1, lastEpoch: EPOCH, claims: {}, groups: {} },
    };
    for (let index = 0; index < vmCount; index++) {
        addVm(fixture, `engine-${index}`, `group-${Math.floor(index / groupSize)}`, index % groupSize);
    }
    return fixture;
}

function addVm(fixture: ZoneFixture, vm: string, group: string, rank: number): void {
    fixture.vms.push({
        name: vm,
        region: "region",
        zone: ZONE,
        fabricDomain: "domain",
        role: "engine",
        address: vm,
        enginePort: 80,
        accelerators: 8,
        state: "live",
    });
    fixture.reports.push({
        vm,
        bootId: `${vm}-00000000-0000-0000`,
        group,
        epoch: EPOCH,
        modelVersion: "model-version",
        rank,
        phase: "ready",
        runningRequests: 3,
        waitingRequests: 0,
    });
    fixture.ledger.claims[vm] = { group, epoch: EPOCH, rank, state: "held" };
    const known = fixture.ledger.groups[group]
        ?? { epoch: EPOCH, modelVersion: "model-version", fabricDomain: "domain", members: [] };
    fixture.ledger.groups[group] = { ...known, members: [...known.members, vm] };
}

import { expect } from "chai";
import path from "node:path";
import { readExamples } from "../../src/topology/readExamples.js";
import { SystemTopology } from "../../src/topology/SystemTopology.js";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../examples");

describe("readExamples", () => {
    it("reads only valid examples, whose service URLs match the demo's topology", async () => {
        const objects = await readExamples(EXAMPLES);
        const topology = SystemTopology.create({ octet: 77, basePort: 17_700 });
        const service = objects.find(object => object.kind === "service")?.value as {
            endpoints: Array<{ zone: string; url: string; }>;
        };
        expect(service.endpoints.map(endpoint => endpoint.url))
            .to.deep.equal(topology.options.zones.map(zone => topology.serviceUrl(zone)));
        const zones = objects.filter(object => object.kind === "serving-group")
            .map(object => (object.value as { zone: string; }).zone);
        expect(zones).to.deep.equal(topology.options.zones);
    });
});

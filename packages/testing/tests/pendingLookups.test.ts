import { expect } from "chai";

// Guards against a test command that does not return: the process waits for all pending look-ups of host names.
after("no host name is being looked up", () => {
    expect(process.getActiveResourcesInfo().filter(kind => kind === "GetAddrInfoReqWrap")).to.deep.equal([]);
});

import { z } from "zod";
import type { CallLimiter } from "../CallLimiter.js";
import type { VmDirectory } from "../ports/VmDirectory.js";
import type { VmListOutcome } from "../VmListOutcome.js";
import { vmRecordSchema } from "../VmRecord.js";
import type { PlatformHttp } from "./PlatformHttp.js";

/** What an `HttpVmDirectory` is made of. */
interface HttpVmDirectoryOptions {
    http: PlatformHttp;
    limiter: CallLimiter;
}

const RETRY_AFTER_MS = 500;
const vmListSchema = z.object({ vms: z.array(vmRecordSchema) });

/** The platform's list of VMs over HTTP. */
export class HttpVmDirectory implements VmDirectory {
    private constructor(private readonly options: HttpVmDirectoryOptions) {}

    /** Creates the adapter. */
    static create(options: HttpVmDirectoryOptions): HttpVmDirectory {
        return new HttpVmDirectory(options);
    }

    /** Reads the list. */
    async listVms(): Promise<VmListOutcome> {
        const turn = await this.options.limiter.turn("read");
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const answer = await this.options.http.call({ method: "GET", path: "/v1/vms" });
        const parsed = answer.kind === "answered" && answer.status === 200
            ? vmListSchema.safeParse(answer.body)
            : undefined;
        return parsed?.success
            ? { kind: "listed", vms: parsed.data.vms }
            : { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }
}

import { z } from "zod";
import type { CallLimiter } from "../CallLimiter.js";
import type { VmDirectory } from "../ports/VmDirectory.js";
import type { VmListOutcome } from "../VmListOutcome.js";
import { type VmRecord, vmRecordSchema } from "../VmRecord.js";
import type { PlatformHttp } from "./PlatformHttp.js";

interface HttpVmDirectoryOptions {
    http: PlatformHttp;
    limiter: CallLimiter;
}

const DEFAULT_RETRY_AFTER_MS = 500;
const vmListSchema = z.object({ vms: z.array(vmRecordSchema) });

/** Reads the platform's list of VMs over HTTP. The ETag avoids transferring an unchanged list again. */
export class HttpVmDirectory implements VmDirectory {
    private lastList: { etag: string; vms: VmRecord[]; } | undefined;

    private constructor(private readonly options: HttpVmDirectoryOptions) {}

    /** Creates the client; it sends nothing yet. */
    static create(options: HttpVmDirectoryOptions): HttpVmDirectory {
        return new HttpVmDirectory(options);
    }

    /** Returns the list. A response that does not validate is an `unavailable` outcome. */
    async listVms(): Promise<VmListOutcome> {
        const permit = await this.options.limiter.acquire("read");
        if (permit.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: permit.retryAfterMs };
        }
        const headers: Record<string, string> = this.lastList ? { "if-none-match": this.lastList.etag } : {};
        const response = await this.options.http.call({ method: "GET", path: "/v1/vms", headers });
        if (response.kind === "answered" && response.status === 304 && this.lastList) {
            return { kind: "listed", vms: this.lastList.vms };
        }
        const parsed = response.kind === "answered" && response.status === 200
            ? vmListSchema.safeParse(response.body)
            : undefined;
        if (response.kind !== "answered" || !parsed?.success) {
            return { kind: "unavailable", retryAfterMs: DEFAULT_RETRY_AFTER_MS };
        }
        const { vms } = parsed.data;
        this.lastList = response.etag === undefined ? undefined : { etag: response.etag, vms };
        return { kind: "listed", vms };
    }
}

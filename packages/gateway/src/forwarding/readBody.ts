import { GrowingBuffer } from "./GrowingBuffer.js";
import type { ResponseMemory } from "./ResponseMemory.js";

/** Result of reading a body. */
type BodyResult = { kind: "completed"; bytes: Buffer; } | { kind: "broken"; reason: string; };

/** Responses of plain services and error responses are far smaller; a process reads many at once in 350 MB. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Reads a body to its end; a longer one than the limit, or one that is dropped because all together are too long, is
 * broken. Never rejects.
 */
export async function readBody(
    body: AsyncIterable<Buffer>,
    maxBytes = MAX_BODY_BYTES,
    memory?: ResponseMemory,
): Promise<BodyResult> {
    const read = GrowingBuffer.create(memory);
    try {
        for await (const chunk of body) {
            if (read.length + chunk.length > maxBytes) {
                return { kind: "broken", reason: `the body is longer than ${maxBytes} bytes` };
            }
            read.append(chunk);
        }
        return { kind: "completed", bytes: read.bytes };
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
    }
    finally {
        read.release();
    }
}

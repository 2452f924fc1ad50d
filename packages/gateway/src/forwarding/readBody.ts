/** Result of reading a body. */
type WholeBody = { kind: "whole"; bytes: Buffer; } | { kind: "broken"; reason: string; };

/** Reads a body to its end. Never rejects. */
export async function readBody(body: AsyncIterable<Buffer>): Promise<WholeBody> {
    const parts: Buffer[] = [];
    try {
        for await (const part of body) {
            parts.push(part);
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
    }
    return { kind: "whole", bytes: Buffer.concat(parts) };
}

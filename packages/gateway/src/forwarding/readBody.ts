/** Result of reading a body. */
type BodyResult = { kind: "completed"; bytes: Buffer; } | { kind: "broken"; reason: string; };

/** Reads a body to its end. Never rejects. */
export async function readBody(body: AsyncIterable<Buffer>): Promise<BodyResult> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of body) {
            chunks.push(chunk);
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
    }
    return { kind: "completed", bytes: Buffer.concat(chunks) };
}

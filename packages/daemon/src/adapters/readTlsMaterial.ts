import { readFile } from "node:fs/promises";
import type { TlsFiles } from "../TlsFiles.js";
import type { TlsMaterial } from "../TlsMaterial.js";

/** Reads TLS files without checking whether key and certificate match. Rejects if a file cannot be read. */
export async function readTlsMaterial(files: TlsFiles): Promise<TlsMaterial> {
    const [cert, key, ca] = await Promise.all([
        readFile(files.certificateFile, "utf8"),
        readFile(files.keyFile, "utf8"),
        files.authorityFile === undefined ? undefined : readFile(files.authorityFile, "utf8"),
    ]);
    return { cert, key, ca };
}

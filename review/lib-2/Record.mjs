import { writeFileSync } from "node:fs";
import path from "node:path";

/** What a case sent, got and ran, with the time since its start. */
export class Record {
    lines = [];
    startedAtMs = performance.now();

    constructor(folder) {
        this.file = path.join(folder, "record.txt");
        process.on("uncaughtException", error => {
            this.add(`the case could not run: ${error.stack}`);
            this.write();
            process.exit(2);
        });
    }

    add(text) {
        const line = `${((performance.now() - this.startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${text}`;
        this.lines.push(line);
        if (process.env.SHOW) {
            console.log(line);
        }
    }

    write() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

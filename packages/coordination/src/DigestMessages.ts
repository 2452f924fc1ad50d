import { create } from "@bufbuild/protobuf";
import type { ObjectKey } from "@fescuehaven/platform";
import {
    type ConfigurationObject,
    ConfigurationObjectSchema,
    type ObjectRevision,
    ObjectRevisionSchema,
} from "@fescuehaven/protocol";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { DigestEntry } from "./DigestEntry.js";

/** Objects in one message take up to this size, bytes. */
const MAX_MESSAGE_BYTES = 512 * 1024;
/** Size of an object's kind, revision and framing, bytes. */
const ENTRY_OVERHEAD_BYTES = 40;

/** Turns a configuration state into messages between processes, and takes such messages in. */
export class DigestMessages {
    private constructor(private readonly state: ConfigurationState) {}

    /** Creates the translation for one state. */
    static create(state: ConfigurationState): DigestMessages {
        return new DigestMessages(state);
    }

    /** Lines of a digest as messages. */
    revisions(entries: readonly DigestEntry[]): ObjectRevision[] {
        return entries.map(entry => create(ObjectRevisionSchema, { ...entry, revision: BigInt(entry.revision) }));
    }

    /** What is in force of each key as messages; keys of which nothing is held are left out. */
    objects(keys: readonly ObjectKey[]): ConfigurationObject[] {
        return keys.flatMap(key => {
            const record = this.state.activeRevision(key);
            if (!record) {
                return [];
            }
            const object = this.state.get(key.kind, key.name);
            return [create(ConfigurationObjectSchema, {
                kind: key.kind,
                name: key.name,
                revision: BigInt(record.revision),
                deleted: record.deleted,
                valueJson: object ? Buffer.from(JSON.stringify(object.value)) : new Uint8Array(),
            })];
        });
    }

    /** As many of the objects, in order, as fit into one message; always one at least. */
    fitting(objects: readonly ConfigurationObject[]): ConfigurationObject[] {
        let sizeBytes = 0;
        const end = objects.findIndex((object, index) => {
            sizeBytes += object.valueJson.length + object.name.length + ENTRY_OVERHEAD_BYTES;
            return index > 0 && sizeBytes > MAX_MESSAGE_BYTES;
        });
        return end < 0 ? [...objects] : objects.slice(0, end);
    }

    /** Offers what a peer sent to the state. */
    take(objects: readonly ConfigurationObject[], source: string): void {
        for (const message of objects) {
            const revision = Number(message.revision);
            if (message.deleted) {
                this.state.remove(message, revision, source);
            }
            else {
                const value = parseJson(message.valueJson);
                this.state.adopt({ kind: message.kind, name: message.name, revision, value }, source);
            }
        }
    }
}

/** Undefined, which no schema accepts, when the bytes are not JSON. */
function parseJson(bytes: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

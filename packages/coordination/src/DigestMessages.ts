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

/** Maximum total size of the objects in one message. */
const MAX_MESSAGE_BYTES = 512 * 1024;
/** Size allowed for an object's kind, revision and framing. */
const ENTRY_OVERHEAD_BYTES = 40;

/** Encodes a configuration state as messages to other processes and applies their messages to it. */
export class DigestMessages {
    private constructor(private readonly state: ConfigurationState) {}

    /** Creates an encoder and decoder for one state. */
    static create(state: ConfigurationState): DigestMessages {
        return new DigestMessages(state);
    }

    /** Encodes entries of a digest. */
    revisions(entries: readonly DigestEntry[]): ObjectRevision[] {
        return entries.map(entry => create(ObjectRevisionSchema, { ...entry, revision: BigInt(entry.revision) }));
    }

    /** Encodes the active revision of each key; omits keys that have none. */
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

    /** Returns the longest prefix of the objects that fits into one message, but at least one object. */
    fitting(objects: readonly ConfigurationObject[]): ConfigurationObject[] {
        let sizeBytes = 0;
        const end = objects.findIndex((object, index) => {
            sizeBytes += object.valueJson.length + object.name.length + ENTRY_OVERHEAD_BYTES;
            return index > 0 && sizeBytes > MAX_MESSAGE_BYTES;
        });
        return end < 0 ? [...objects] : objects.slice(0, end);
    }

    /** Offers objects and removals that a peer sent to the state. */
    apply(objects: readonly ConfigurationObject[], source: string): void {
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

/** Returns undefined, which no schema accepts, if the bytes are not JSON. */
function parseJson(bytes: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

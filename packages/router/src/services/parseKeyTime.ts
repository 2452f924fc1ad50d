/** A UUID of version 7, whose first 48 bits are Unix milliseconds. */
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the time in a version 7 UUID key, which no repeat can change; undefined for other keys. */
export function parseKeyTime(key: string): Date | undefined {
    const match = UUID_V7.exec(key);
    return match ? new Date(Number.parseInt(`${match[1]}${match[2]}`, 16)) : undefined;
}

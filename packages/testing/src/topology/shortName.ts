/** Returns the part of an availability zone's name that is used in process and VM names: `a` for `zone-a`. */
export function shortName(zone: string): string {
    return zone.replace(/^zone-/, "");
}

/** The part of an availability zone's name that process and VM names carry: `a` for `zone-a`. */
export function shortName(zone: string): string {
    return zone.replace(/^zone-/, "");
}

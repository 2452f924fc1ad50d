/** Kind and name of an object. */
export interface ObjectKey {
    kind: string;
    name: string;
}

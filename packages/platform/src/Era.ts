/**
 * Generation of the store's history: it rises when the store comes back from an older copy. Revisions are comparable
 * only within one era. 0 if the store states no era.
 */
export type Era = number;

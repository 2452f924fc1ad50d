/**
 * A model is short of groups from this share of its requests that are refused or late, smoothed: a burst of three seconds
 * in which half of them are, while groups are lost, stays below it.
 */
export const SHORTAGE_SHARE = 0.25;

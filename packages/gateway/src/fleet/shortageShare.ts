/** A model is short of groups if a larger share of its requests is refused or late: less is normal in a burst. */
export const SHORTAGE_SHARE = 0.2;

/** HTTP header that carries a hybrid time stamp between processes, as `wallMs.logical`. */
export const hybridHeader = "fescue-hlc";

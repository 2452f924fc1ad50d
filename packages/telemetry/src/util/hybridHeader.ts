/** HTTP header that carries a hybrid timestamp between processes, as `wallMs.logical`. */
export const hybridHeader = "fescue-hlc";

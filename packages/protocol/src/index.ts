export * from "./gen/fescue/v1/configuration_pb.js";
export * from "./gen/fescue/v1/evidence_pb.js";
export * from "./gen/fescue/v1/forward_pb.js";
export * from "./gen/fescue/v1/gateway_pb.js";
export * from "./gen/fescue/v1/introspection_pb.js";
export * from "./gen/fescue/v1/journal_pb.js";

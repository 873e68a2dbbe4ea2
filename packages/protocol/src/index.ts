/** Messages and services between copperlever processes, generated from `proto/`, and the modules built on them. */
export * as agent from './generated/copperlever/v1/agent.js';
export * as gatewayPeer from './generated/copperlever/v1/gateway_peer.js';
export * as peer from './generated/copperlever/v1/peer.js';
export * as attributes from './generated/copperlever/v1/attributes.js';
export * as causes from './causes.js';
export * as channels from './channels.js';
export * as daemonAttributes from './daemon-attributes.js';
export * as servers from './servers.js';

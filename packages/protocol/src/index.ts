/** The messages and services between the processes of copperlever, generated from `proto/`. */
export * as agent from './generated/copperlever/v1/agent.js';
export * as gatewayPeer from './generated/copperlever/v1/gateway_peer.js';
export * as peer from './generated/copperlever/v1/peer.js';
export * as attributes from './generated/copperlever/v1/attributes.js';
export * as causes from './causes.js';
export * as channels from './channels.js';

// The parts of undici that the gateway uses. Its index also evaluates fetch, web sockets, caches and mocks, which is a
// fifth of the time that a gateway takes to start.
const api = require('../../node_modules/undici/lib/api');
const buildConnector = require('../../node_modules/undici/lib/core/connect.js');
const Agent = require('../../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher.js');

Object.assign(Dispatcher.prototype, api);

module.exports = { Agent, Client, buildConnector };

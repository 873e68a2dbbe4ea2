// Starts the bundled gateway from code that was compiled when it was built. Without it a gateway that is restarted
// compiles two megabytes first, and its callers find no connection meanwhile. Code that another version or other flags
// of Node have compiled is refused by the engine, and compiled anew.
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const heldSignals = require('./held-signals.cjs');

/** Evaluates the bundle beside this file. */
function loadBundle() {
  const file = path.join(__dirname, 'gateway-bundle.cjs');
  const compiled = path.join(__dirname, 'gateway-bundle.compiled');
  const source = nodeModule.wrap(fs.readFileSync(file, 'latin1'));
  const cachedData = fs.existsSync(compiled) ? fs.readFileSync(compiled) : undefined;
  const script = new vm.Script(source, { filename: file, cachedData });
  const bundle = { exports: {} };
  const require = nodeModule.createRequire(file);
  script.runInThisContext()(bundle.exports, require, bundle, file, __dirname);
  return { script, exports: bundle.exports };
}

function run() {
  // Kept before all else: a signal without a handler ends the process.
  const held = heldSignals.ofThisProcess();
  void loadBundle().exports.run(held);
}

module.exports = { loadBundle, run };

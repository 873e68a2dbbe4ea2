// Keeps the code that the engine has compiled by the time the bundle's modules have been evaluated.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

const start = path.resolve(process.argv[2]);
const compiled = path.join(path.dirname(start), 'gateway-bundle.compiled');
fs.rmSync(compiled, { force: true });
const { loadBundle } = await import(url.pathToFileURL(start).href);
fs.writeFileSync(compiled, loadBundle().script.createCachedData());

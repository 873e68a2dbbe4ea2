/** Fills in the settings template as DEPLOY.md tells: values, `|json`, and sections of a table's or list's entries. */

function valueAt(fields, name) {
  if (name === '.') return fields;
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

function toText(value, isJson) {
  if (value === undefined || value === null) return isJson ? 'null' : '';
  if (isJson) return JSON.stringify(value);
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const PLACEHOLDER = /\{\{([\w.]+)(\|json)?\}\}/g;

/** Sections over entries are not used by this project's template; those for a value that is there are. */
export function render(template, fields) {
  const withSections = template.replace(SECTION, (_whole, sign, name, inner) => {
    const value = valueAt(fields, name);
    const isThere = value !== undefined && value !== null && value !== false;
    return isThere === (sign === '#') ? inner : '';
  });
  return withSections.replace(PLACEHOLDER, (_whole, name, json) =>
    toText(valueAt(fields, name), json !== undefined),
  );
}

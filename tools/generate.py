#!/usr/bin/env python3
"""Generates C tables and reference pages from the files in schema/."""
import json
import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
NOTE = "/* Generated from schema/%s by tools/generate.py; do not edit.  */\n"
CTYPE = {"str": "char *", "bin": "GBytes *", "uint": "uint64_t ", "real": "double ",
         "bool": "bool ", "list": "GArray *", "strs": "GPtrArray *",
         "enum": "uint64_t ", "address": "char *", "digest": "char *",
         "addresses": "GPtrArray *"}


def load(name):
    with open(os.path.join(ROOT, "schema", name)) as f:
        return json.load(f)


def quote(text):
    return json.dumps(text) if text is not None else "NULL"


def message_field(field):
    name, kind = field[0], field[1]
    out = {"name": name, "kind": kind}
    if kind == "list":
        out["sub"], out["max"] = field[2], field[3]
    elif len(field) > 2:
        out["max"] = field[2]
    return out


def record_struct(record):
    out = "/** %s  */\nstruct %s\n{\n" % (record["doc"], record["name"])
    for f in record["fields"]:
        out += "  %s%s;\n" % (CTYPE[f["kind"]], f["name"])
    return out + "};\n\n"


def record_table(record):
    name = record["name"]
    out = ""
    for f in record["fields"]:
        if f["kind"] == "enum":
            out += "static const char *const %s_%s_values[] = { %s, NULL };\n" % (
                name, f["name"], ", ".join(quote(v) for v in f["values"]))
    out += "static const struct field_def %s_fields[] = {\n" % name
    for f in record["fields"]:
        parts = [".name = %s" % quote(f["name"]),
                 ".kind = FIELD_%s" % f["kind"].upper(),
                 ".offset = offsetof (struct %s, %s)" % (name, f["name"])]
        if "min" in f:
            parts.append(".min = %d" % f["min"])
        parts.append(".max = %s" % (("%d" % f["max"]) if "max" in f else
                                    ("UINT64_MAX" if f["kind"] == "uint" else "64")))
        if f.get("required"):
            parts.append(".required = true")
        if f.get("unique"):
            parts.append(".unique = true")
        if "default" in f:
            parts.append(".fallback = %s" % quote(f["default"]))
        if "ref" in f:
            parts.append(".ref = %s" % quote(f["ref"]))
        if "sub" in f:
            parts.append(".sub = &%s_record" % f["sub"])
        if f["kind"] == "enum":
            parts.append(".values = %s_%s_values" % (name, f["name"]))
        out += "  { %s },\n" % ", ".join(parts)
    out += "};\n"
    out += "const struct record_def %s_record = { .name = %s, .size = sizeof (struct %s), .fields = %s_fields, .n_fields = G_N_ELEMENTS (%s_fields), .type = %d };\n\n" % (
        name, quote(name), name, name, name, record.get("type", 0))
    return out


def enums(record):
    out = ""
    for f in record["fields"]:
        if f["kind"] == "enum":
            prefix = ("%s_%s" % (record["name"], f["name"])).upper()
            out += "enum %s_%s\n{\n%s\n};\n\n" % (
                record["name"], f["name"],
                ",\n".join("  %s_%s" % (prefix, v.upper()) for v in f["values"]))
    return out


def header(guard, source, body, includes):
    return NOTE % source + "#ifndef %s\n#define %s\n\n%s\n%s#endif\n" % (
        guard, guard, includes, body)


def write(path, text):
    with open(os.path.join(ROOT, path), "w") as f:
        f.write(text)


def records_pair(base, source, records):
    body = "".join(enums(r) + record_struct(r) for r in records)
    body += "".join("extern const struct record_def %s_record;\n" % r["name"] for r in records)
    types = [r for r in records if r.get("type")]
    if types:
        body += "\n/** Frame types.  */\nenum message_type\n{\n%s\n};\n\n" % ",\n".join(
            "  MESSAGE_%s = %d" % (r["name"].upper(), r["type"]) for r in types)
        body += "/** Record of a frame type, or NULL.  */\nconst struct record_def *message_record (unsigned type);\n\n"
    write("src/generated/%s.h" % base, header("GENERATED_%s_H" % base.upper(), source, body,
          '#include "base/schema.h"\n'))
    code = NOTE % source + '#include "generated/%s.h"\n\n' % base
    code += "".join(record_table(r) for r in records)
    if types:
        code += "const struct record_def *\nmessage_record (unsigned type)\n{\n  switch (type)\n    {\n"
        for r in types:
            code += "    case MESSAGE_%s:\n      return &%s_record;\n" % (r["name"].upper(), r["name"])
        code += "    default:\n      return NULL;\n    }\n}\n"
    write("src/generated/%s.c" % base, code)


def results(table):
    body = "/** Numbered results; docs/reference/results.md lists them.  */\nenum result\n{\n"
    body += ",\n".join("  RESULT_%s = %d" % (r[0].upper(), r[1]) for r in table) + "\n};\n\n"
    body += """/** Name, HTTP status, exit code and text of one result.  */
struct result_info
{
  enum result code;
  const char *name;
  int http_status;
  int exit_code;
  const char *text;
};

/** Returns the entry of CODE; the entry of internal for an unknown code.  */
const struct result_info *result_info (unsigned code);

/** Returns the entry named NAME, or NULL.  */
const struct result_info *result_by_name (const char *name);

"""
    write("src/generated/results.h", header("GENERATED_RESULTS_H", "results.json", body, ""))
    code = NOTE % "results.json" + '#include "generated/results.h"\n\n#include <glib.h>\n#include <string.h>\n\n'
    code += "static const struct result_info table[] = {\n"
    for r in table:
        code += "  { RESULT_%s, %s, %d, %d, %s },\n" % (r[0].upper(), quote(r[0]), r[2], r[3], quote(r[4]))
    code += """};

const struct result_info *
result_info (unsigned code)
{
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if ((unsigned)table[i].code == code)
      return &table[i];
  return &table[G_N_ELEMENTS (table) - 1];
}

const struct result_info *
result_by_name (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if (strcmp (table[i].name, name) == 0)
      return &table[i];
  return NULL;
}
"""
    write("src/generated/results.c", code)
    page = "# Result codes\n\nGenerated from `schema/results.json`. `result` is the number in frames and logs;\ncallers see the HTTP status and the name in the body's `error.code`;\n`buckthornctl` ends with the exit code.\n\n| number | name | HTTP status | exit code | meaning |\n|---|---|---|---|---|\n"
    page += "".join("| %d | `%s` | %d | %d | %s |\n" % (r[1], r[0], r[2], r[3], r[4]) for r in table)
    write("docs/reference/results.md", page)


def settings(table):
    body = "/** Settings of buckthornd, from flags and environment variables.  */\nstruct settings\n{\n"
    for s in table:
        body += "  %s%s;\n" % (CTYPE[s[1]], s[0].replace("-", "_"))
    body += "};\n\nextern const struct setting_def setting_defs[];\nextern const size_t setting_count;\n\n"
    write("src/generated/settings_table.h", header("GENERATED_SETTINGS_TABLE_H", "settings.json", body, '#include "base/settings.h"\n'))
    code = NOTE % "settings.json" + '#include "generated/settings_table.h"\n\n#include <stddef.h>\n\n'
    code += "const struct setting_def setting_defs[] = {\n"
    for s in table:
        env = "BUCKTHORN_" + s[0].upper().replace("-", "_")
        code += "  { %s, %s, SETTING_%s, %s, %d, %d, %s, %s, offsetof (struct settings, %s) },\n" % (
            quote(s[0]), quote(env), s[1].upper(), quote(s[2]), s[3], s[4], quote(s[5]),
            "true" if s[6] else "false", s[0].replace("-", "_"))
    code += "};\n\nconst size_t setting_count = sizeof setting_defs / sizeof setting_defs[0];\n"
    write("src/generated/settings_table.c", code)
    page = "# Settings of buckthornd\n\nGenerated from `schema/settings.json`. A flag goes before its environment variable.\nAll are checked at start-up; each wrong one is named, and the exit code is 2.\n\n| flag | environment | type | default | range | meaning |\n|---|---|---|---|---|---|\n"
    for s in table:
        env = "BUCKTHORN_" + s[0].upper().replace("-", "_")
        kind = "text, length" if s[1] == "str" else "number"
        page += "| `--%s` | `%s` | %s | %s | %d to %d | %s |\n" % (
            s[0], env, kind, "required" if s[6] else "`%s`" % s[2], s[3], s[4], s[5])
    write("docs/reference/settings.md", page)


def file_page(schema):
    page = "# The applied file\n\nGenerated from `schema/file.json`. One YAML document; the same names are used in\nJSON output. A file is checked whole: every problem is listed with its line and key,\nand nothing of a wrong file is applied.\n"
    order = [r for r in schema["records"] if r["name"] == schema["root"]] + [
        r for r in schema["records"] if r["name"] != schema["root"]]
    for r in order:
        page += "\n## `%s`\n\n%s\n\n| key | kind | default | range | meaning |\n|---|---|---|---|---|\n" % (r["name"], r["doc"])
        for f in r["fields"]:
            kind = f["kind"]
            if kind == "enum":
                kind = " or ".join("`%s`" % v for v in f["values"])
            elif kind == "list":
                kind = "list of `%s`" % f["sub"]
            elif kind == "strs":
                kind = "list of names"
            elif kind == "addresses":
                kind = "list of IP:PORT"
            if "ref" in f:
                kind += ", from `%s`" % f["ref"]
            default = "required" if f.get("required") else ("`%s`" % f["default"] if f.get("default") else "empty")
            span = "%d to %d" % (f.get("min", 0), f["max"]) if "max" in f else ""
            page += "| `%s` | %s | %s | %s | %s |\n" % (f["name"], kind, default, span, f["doc"])
    write("docs/reference/file.md", page)


def main():
    messages = load("messages.json")
    records = messages["records"] + messages["messages"]
    for r in records:
        r["fields"] = [message_field(f) for f in r["fields"]]
    records_pair("messages", "messages.json", records)
    file_schema = load("file.json")
    records_pair("file_tables", "file.json", file_schema["records"])
    file_page(file_schema)
    results(load("results.json"))
    settings(load("settings.json"))
    return 0


if __name__ == "__main__":
    sys.exit(main())

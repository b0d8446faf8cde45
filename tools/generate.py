#!/usr/bin/env python3
"""Generates C tables (src/generated) and reference pages (docs/reference) from
the files in schema/.  The output still has to be formatted by clang-format;
`make generate` does both."""
import json
import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# First line of every generated C file.
BANNER = "/* Generated from schema/%s by tools/generate.py; do not edit.  */\n"
# C type of a struct field, by the kind of the field in the schema.
C_TYPES = {"str": "char *", "bin": "GBytes *", "uint": "uint64_t ", "real": "double ",
         "bool": "bool ", "list": "GArray *", "strs": "GPtrArray *",
         "enum": "uint64_t ", "address": "char *", "digest": "char *",
         "addresses": "GPtrArray *"}


def load(name):
    """Parsed content of schema/NAME."""
    with open(os.path.join(ROOT, "schema", name)) as f:
        return json.load(f)


def c_literal(text):
    """C string literal, or NULL for None."""
    return json.dumps(text) if text is not None else "NULL"


def message_field(field):
    """Expands the short form of messages.json, [name, kind, max] or
    [name, "list", record, max], to the form of file.json."""
    name, kind = field[0], field[1]
    out = {"name": name, "kind": kind}
    if kind == "list":
        out["sub"], out["max"] = field[2], field[3]
    elif len(field) > 2:
        out["max"] = field[2]
    return out


def record_struct(record):
    """C struct of a record."""
    out = "/** %s  */\nstruct %s\n{\n" % (record["doc"], record["name"])
    for f in record["fields"]:
        out += "  %s%s;\n" % (C_TYPES[f["kind"]], f["name"])
    return out + "};\n\n"


def record_table(record):
    """Tables that describe the fields of a record to src/base/schema.c.  A number
    without a maximum may take any value; a text or list without one is limited
    to 64."""
    name = record["name"]
    out = ""
    for f in record["fields"]:
        if f["kind"] == "enum":
            out += "static const char *const %s_%s_values[] = { %s, NULL };\n" % (
                name, f["name"], ", ".join(c_literal(v) for v in f["values"]))
    out += "static const struct field_def %s_fields[] = {\n" % name
    for f in record["fields"]:
        parts = [".name = %s" % c_literal(f["name"]),
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
            parts.append(".fallback = %s" % c_literal(f["default"]))
        if "ref" in f:
            parts.append(".ref = %s" % c_literal(f["ref"]))
        if "sub" in f:
            parts.append(".sub = &%s_record" % f["sub"])
        if f["kind"] == "enum":
            parts.append(".values = %s_%s_values" % (name, f["name"]))
        out += "  { %s },\n" % ", ".join(parts)
    out += "};\n"
    out += "const struct record_def %s_record = { .name = %s, .size = sizeof (struct %s), .fields = %s_fields, .n_fields = G_N_ELEMENTS (%s_fields), .type = %d };\n\n" % (
        name, c_literal(name), name, name, name, record.get("type", 0))
    return out


def record_enums(record):
    """C enums of a record's enum fields."""
    out = ""
    for f in record["fields"]:
        if f["kind"] == "enum":
            prefix = ("%s_%s" % (record["name"], f["name"])).upper()
            out += "enum %s_%s\n{\n%s\n};\n\n" % (
                record["name"], f["name"],
                ",\n".join("  %s_%s" % (prefix, v.upper()) for v in f["values"]))
    return out


def c_header(guard, source, body, includes):
    """Text of a C header generated from schema/SOURCE."""
    return BANNER % source + "#ifndef %s\n#define %s\n\n%s\n%s#endif\n" % (
        guard, guard, includes, body)


def write_file(path, text):
    """Writes a file; PATH is relative to the root of the repository."""
    with open(os.path.join(ROOT, path), "w") as f:
        f.write(text)


def write_records(base, source, records):
    """Writes src/generated/BASE.h and BASE.c: structs, tables and, for records
    that are carried in frames, the frame types."""
    body = "".join(record_enums(r) + record_struct(r) for r in records)
    body += "".join("extern const struct record_def %s_record;\n" % r["name"] for r in records)
    types = [r for r in records if r.get("type")]
    if types:
        body += "\n/** Frame types: the record that each carries.  */\nenum message_type\n{\n%s\n};\n\n" % ",\n".join(
            "  MESSAGE_%s = %d" % (r["name"].upper(), r["type"]) for r in types)
        body += "/** Returns the record that frames of TYPE carry, or NULL if it is unknown.  */\nconst struct record_def *message_record (unsigned type);\n\n"
    write_file("src/generated/%s.h" % base, c_header("GENERATED_%s_H" % base.upper(), source, body,
          '#include "base/schema.h"\n'))
    code = BANNER % source + '#include "generated/%s.h"\n\n' % base
    code += "".join(record_table(r) for r in records)
    if types:
        code += "const struct record_def *\nmessage_record (unsigned type)\n{\n  switch (type)\n    {\n"
        for r in types:
            code += "    case MESSAGE_%s:\n      return &%s_record;\n" % (r["name"].upper(), r["name"])
        code += "    default:\n      return NULL;\n    }\n}\n"
    write_file("src/generated/%s.c" % base, code)


def write_results(table):
    """Writes the result codes: enum, table, look-ups, reference page."""
    body = "/** Result codes; docs/reference/results.md lists them.  */\nenum result\n{\n"
    body += ",\n".join("  RESULT_%s = %d" % (r[0].upper(), r[1]) for r in table) + "\n};\n\n"
    body += """/** Name, HTTP status, exit code of buckthornctl and text of one result.  */
struct result_info
{
  enum result code;
  const char *name;
  int http_status;
  int exit_code;
  const char *text;
};

/** Returns the entry of CODE; that of RESULT_INTERNAL if CODE is unknown.  */
const struct result_info *result_info (unsigned code);

/** Returns the entry named NAME, or NULL.  */
const struct result_info *result_by_name (const char *name);

"""
    write_file("src/generated/results.h", c_header("GENERATED_RESULTS_H", "results.json", body, ""))
    code = BANNER % "results.json" + '#include "generated/results.h"\n\n#include <glib.h>\n#include <string.h>\n\n'
    code += "static const struct result_info table[] = {\n"
    for r in table:
        code += "  { RESULT_%s, %s, %d, %d, %s },\n" % (r[0].upper(), c_literal(r[0]), r[2], r[3], c_literal(r[4]))
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
    write_file("src/generated/results.c", code)
    page = "# Result codes\n\nGenerated from `schema/results.json`. `result` is the number in frames and logs;\ncallers get the HTTP status and the name, as `error.code` of the response body;\n`buckthornctl` exits with the exit code.\n\n| number | name | HTTP status | exit code | meaning |\n|---|---|---|---|---|\n"
    page += "".join("| %d | `%s` | %d | %d | %s |\n" % (r[1], r[0], r[2], r[3], r[4]) for r in table)
    write_file("docs/reference/results.md", page)


def write_settings(table):
    """Writes the settings of buckthornd: struct, table, reference page."""
    body = "/** Settings of buckthornd from flags, environment variables and the settings\n    file.  */\nstruct settings\n{\n"
    for s in table:
        body += "  %s%s;\n" % (C_TYPES[s[1]], s[0].replace("-", "_"))
    body += "};\n\nextern const struct setting_def setting_defs[];\nextern const size_t setting_count;\n\n"
    write_file("src/generated/settings_table.h", c_header("GENERATED_SETTINGS_TABLE_H", "settings.json", body, '#include "base/settings.h"\n'))
    code = BANNER % "settings.json" + '#include "generated/settings_table.h"\n\n#include <stddef.h>\n\n'
    code += "const struct setting_def setting_defs[] = {\n"
    for s in table:
        env = "BUCKTHORN_" + s[0].upper().replace("-", "_")
        code += "  { %s, %s, SETTING_%s, %s, %d, %d, %s, %s, offsetof (struct settings, %s) },\n" % (
            c_literal(s[0]), c_literal(env), s[1].upper(), c_literal(s[2]), s[3], s[4], c_literal(s[5]),
            "true" if s[6] else "false", s[0].replace("-", "_"))
    code += "};\n\nconst size_t setting_count = sizeof setting_defs / sizeof setting_defs[0];\n"
    write_file("src/generated/settings_table.c", code)
    page = "# Settings of buckthornd\n\nGenerated from `schema/settings.json`. A flag takes precedence over its environment\nvariable, and that over the settings file, which uses the names of the environment\nvariables. All are checked at start-up; each invalid one is reported, and the exit\ncode is 2.\n\n| flag | environment | type | default | range | meaning |\n|---|---|---|---|---|---|\n"
    for s in table:
        env = "BUCKTHORN_" + s[0].upper().replace("-", "_")
        kind = "text, length" if s[1] == "str" else "number"
        page += "| `--%s` | `%s` | %s | %s | %d to %d | %s |\n" % (
            s[0], env, kind, "required" if s[6] else "`%s`" % s[2], s[3], s[4], s[5])
    write_file("docs/reference/settings.md", page)


def write_file_page(schema):
    """Writes the reference page of the applied file, its root record first."""
    page = "# The applied file\n\nGenerated from `schema/file.json`. The file is one YAML document; the\nsame names are used in JSON output. It is checked completely: every problem is\nreported with its line and key, and nothing of an invalid file is applied.\n"
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
            limits = "%d to %d" % (f.get("min", 0), f["max"]) if "max" in f else ""
            page += "| `%s` | %s | %s | %s | %s |\n" % (f["name"], kind, default, limits, f["doc"])
    write_file("docs/reference/file.md", page)


def main():
    messages = load("messages.json")
    records = messages["records"] + messages["messages"]
    for r in records:
        r["fields"] = [message_field(f) for f in r["fields"]]
    write_records("messages", "messages.json", records)
    file_schema = load("file.json")
    write_records("file_tables", "file.json", file_schema["records"])
    write_file_page(file_schema)
    write_results(load("results.json"))
    write_settings(load("settings.json"))
    return 0


if __name__ == "__main__":
    sys.exit(main())

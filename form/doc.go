// Package form decodes YAML files into structs and reports all faults of a file
// together, each with file, line and key.
//
// Keys equal the field names of the struct. The tag `settings` of a field holds its
// validation rules: "required", "name" for a string that must be a valid name, and
// "min=…" and "max=…", which bound a number, a duration, or the length of a list.
// Anchors, aliases, tags and merge keys are rejected.
package form

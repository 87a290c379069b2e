// Package form decodes YAML files into structs and reports all faults of a file
// at once, each with file, line and key.
//
// Keys are the names of the fields. The tag `settings` of a field holds its
// rules: "required", "name" for a text that names something, and "min=…" and
// "max=…", which bound a number, a duration, or the length of a list. Anchors,
// aliases, tags and merge keys are not accepted.
package form

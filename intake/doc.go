// Package intake limits what the clients of a server can take from its process:
// connections, descriptors, memory for bodies that have not arrived completely, and
// requests in progress. docs/design/intake.md describes it.
package intake

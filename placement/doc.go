// Package placement decides which waiting jobs start on which accelerators,
// and which placed jobs stop for them. All functions are pure; docs/design.md,
// section 6.6, describes the policy.
package placement

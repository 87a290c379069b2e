// Package plan makes plans from operators' intents and applies them to the
// configuration. All functions are pure.
package plan

// Package settings reads the YAML settings of entries and agents and the
// operators' documents. All faults of a file are reported at once, each with
// file, line and key; a file with a fault yields nothing.
//
// Keys are in Pascal case and stand for the fields of the types of this
// package; package form decodes them. Durations are written as 250ms, 2s or 1h,
// addresses as IP:port.
package settings

// Package settings reads the YAML settings files of entries and agents and the
// operators' documents. All faults of a file are reported together, each with
// file, line and key. No settings are returned for a file that has a fault.
//
// Keys are in Pascal case and equal the field names of the types in this
// package. Package form decodes them. Durations are written as 250ms, 2s or 1h,
// and addresses as IP:port.
package settings

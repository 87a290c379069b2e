package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rosemarysill/rosemarysill"
)

// printedError is an error that has already been printed as part of the result.
type printedError struct{ error }

// Unwrap returns the underlying error.
func (p printedError) Unwrap() error { return p.error }

// printResult prints v as JSON if --output is json, and calls printText otherwise.
func printResult(v any, printText func()) error {
	if global.Output != "json" {
		printText()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// errorReport is the printed form of an error.
type errorReport struct {
	Code   rosemarysill.Code
	Name   string
	Truth  rosemarysill.Truth
	Detail string
}

// printError prints an error with its code and with what the code states about the
// execution of the request.
func printError(err error) {
	code := rosemarysill.CodeOf(err)
	f := errorReport{Code: code, Name: code.String(), Truth: code.Truth(), Detail: rosemarysill.DetailOf(err)}
	if global.Output == "json" {
		enc := json.NewEncoder(os.Stderr)
		_ = enc.Encode(f)
		return
	}
	fmt.Fprintf(os.Stderr, "%s (%d, %s): %s\n", f.Name, int(f.Code), f.Truth, f.Detail)
}

package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rosemarysill/rosemarysill"
)

// printedError is an error whose message has been printed with the result.
type printedError struct{ error }

// Unwrap returns the error itself.
func (p printedError) Unwrap() error { return p.error }

// show prints v as JSON, or calls text.
func show(v any, text func()) error {
	if global.Output != "json" {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// failure is an error as it is printed.
type failure struct {
	Code   rosemarysill.Code
	Name   string
	Truth  rosemarysill.Truth
	Detail string
}

// printError prints an error with its code and what it says of the request.
func printError(err error) {
	code := rosemarysill.CodeOf(err)
	f := failure{Code: code, Name: code.String(), Truth: code.Truth(), Detail: rosemarysill.DetailOf(err)}
	if global.Output == "json" {
		enc := json.NewEncoder(os.Stderr)
		_ = enc.Encode(f)
		return
	}
	fmt.Fprintf(os.Stderr, "%s (%d, %s): %s\n", f.Name, int(f.Code), f.Truth, f.Detail)
}

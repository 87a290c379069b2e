package main

import (
	"encoding/json"
	"os"

	"github.com/rosemarysill/rosemarysill"
)

type declareCommand struct {
	entriesOption
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute asks for the plan.
func (c *declareCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidArguments, "%v", err)
	}
	in := rosemarysill.Intent{Kind: rosemarysill.Declare}
	if err := json.Unmarshal(data, &in); err != nil {
		return rosemarysill.NewError(rosemarysill.InvalidSettings, "%v", err)
	}
	in.Kind = rosemarysill.Declare
	return c.askPlan(in)
}

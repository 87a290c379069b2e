package main

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/settings"
)

type declareCommand struct {
	entriesOption
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute requests and prints the plan.
func (c *declareCommand) Execute([]string) error {
	doc, err := settings.ReadOperators(c.Args.File)
	if err != nil {
		return err
	}
	return c.requestPlan(rosemarysill.Intent{Kind: rosemarysill.Declare, Accounts: doc.Accounts, Domains: doc.Domains})
}

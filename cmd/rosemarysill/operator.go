package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/operator"
)

// withOperatorClient calls f with a client of the operator API.
func (o entriesOption) withOperatorClient(f func(ctx context.Context, c *operator.Client) error) error {
	entries, err := o.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	c := operator.NewClient(entries)
	defer c.Close()
	return f(ctx, c)
}

func operatorCommands() []command {
	newPlan := func(kind rosemarysill.IntentKind) *planCommand { return &planCommand{kind: kind} }
	return []command{
		{name: "status", short: "Print the status of the system", data: &statusCommand{},
			long: "Prints the configuration revision, entries, failure domains, client accounts, workers and upstreams as known to one entry."},
		{name: "plan", short: "Request a plan; confirm puts it into force", data: &commandGroup{},
			long: "Prints what a change would move, stop or leave waiting, which guarantees would not be met, and the identifier of the plan for the confirm command.",
			sub: []command{
				{name: "take-out", short: "Take a failure domain out", long: "TARGET is the failure domain.", data: newPlan(rosemarysill.TakeOut)},
				{name: "bring-back", short: "Bring a failure domain back", long: "TARGET is the failure domain.", data: newPlan(rosemarysill.BringBack)},
				{name: "drain", short: "Stop sending new work to an upstream", long: "TARGET is the upstream.", data: newPlan(rosemarysill.Drain)},
				{name: "undrain", short: "Resume sending new work to an upstream", long: "TARGET is the upstream.", data: newPlan(rosemarysill.Undrain)},
				{name: "remove-entries", short: "Remove entries whose VMs no longer exist", long: "TARGET is a comma-separated list of the identities of entries whose virtual machines no longer exist.", data: newPlan(rosemarysill.RemoveEntries)},
				{name: "declare", short: "Declare accounts and failure domains from a document", long: "FILE is a YAML document with Accounts and Domains, validated as by the check command.", data: &declareCommand{}},
				{name: "grant", short: "Change the guarantees of a client account", long: "TARGET is the client account; the new guarantees replace its current ones.", data: &grantCommand{}},
			}},
		{name: "confirm", short: "Put a plan into force", data: &confirmCommand{},
			long: "Puts the plan into force if the configuration has not changed since the plan was made. Confirming a plan again has no further effect."},
	}
}

type planCommand struct {
	entriesOption
	kind rosemarysill.IntentKind
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute requests and prints the plan.
func (c *planCommand) Execute([]string) error {
	return c.requestPlan(rosemarysill.Intent{Kind: c.kind, Target: c.Args.Target})
}

func (o entriesOption) requestPlan(in rosemarysill.Intent) error {
	return o.withOperatorClient(func(ctx context.Context, client *operator.Client) error {
		p, err := client.Plan(ctx, in)
		if err != nil {
			return err
		}
		return printResult(p, func() { printPlan(p) })
	})
}

func printPlan(p rosemarysill.Plan) {
	fmt.Printf("plan %s on revision %d, expires %s\n", p.ID, p.BaseRevision, p.Expires.Format("15:04:05"))
	if len(p.Effects) == 0 {
		fmt.Println("  no running work is affected")
	}
	for _, e := range p.Effects {
		fmt.Printf("  %-6s %s: %s\n", e.Verb, e.Subject, e.Detail)
	}
	fmt.Printf("confirm with: rosemarysill confirm %s\n", p.ID)
}

type grantCommand struct {
	entriesOption
	Count        int  `long:"count" default:"1" description:"Number of gangs of the shape; 0 removes all guarantees"`
	Members      int  `long:"members" default:"1" description:"Number of tasks in the gang"`
	Accelerators int  `long:"accelerators" default:"1" description:"Number of accelerators per task"`
	Processors   int  `long:"processors" default:"1" description:"Number of processors per task"`
	MemoryMB     int  `long:"memory-mb" default:"1024" description:"Memory per task in MB"`
	Adjacent     bool `long:"adjacent" description:"Place all tasks in one rack"`
	Quota        int  `long:"quota" description:"Maximum number of accelerators that jobs of the account may use; 0 means no limit"`
	Args         struct {
		Account string `positional-arg-name:"ACCOUNT" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute requests and prints the plan.
func (c *grantCommand) Execute([]string) error {
	in := rosemarysill.Intent{Kind: rosemarysill.Grant, Target: c.Args.Account, QuotaAccelerators: c.Quota}
	if c.Count > 0 {
		in.Guarantees = []rosemarysill.Guarantee{{Count: c.Count, Shape: rosemarysill.Shape{
			Members: c.Members, Accelerators: c.Accelerators, Processors: c.Processors,
			MemoryMB: c.MemoryMB, Adjacent: c.Adjacent,
		}}}
	}
	return c.requestPlan(in)
}

type confirmCommand struct {
	entriesOption
	Args struct {
		Plan string `positional-arg-name:"PLAN" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute confirms the plan.
func (c *confirmCommand) Execute([]string) error {
	id, err := parseID(c.Args.Plan)
	if err != nil {
		return err
	}
	return c.withOperatorClient(func(ctx context.Context, client *operator.Client) error {
		answer, err := client.Confirm(ctx, id)
		if err != nil {
			return err
		}
		if err := printResult(answer, func() { printConfirmation(answer) }); err != nil {
			return err
		}
		if answer.Code != rosemarysill.Done {
			return printedError{rosemarysill.NewError(answer.Code, "%s", answer.Detail)}
		}
		return nil
	})
}

func printConfirmation(c rosemarysill.Confirmation) {
	if c.Code == rosemarysill.Done {
		fmt.Printf("in force with revision %d\n", c.Revision)
		return
	}
	fmt.Printf("%s (%d): %s\n", c.Code, int(c.Code), c.Detail)
	for _, change := range c.Changes {
		fmt.Println("  since then:", change)
	}
}

type statusCommand struct{ entriesOption }

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	return c.withOperatorClient(func(ctx context.Context, client *operator.Client) error {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return printResult(s, func() { printStatus(s) })
	})
}

func printStatus(s rosemarysill.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "entry\t%s (%s), authoritative %t, store contact %t, places jobs %t, epoch %d\n",
		s.Entry.Name, s.Entry.State, s.Authoritative, s.StoreContact, s.IsPlacer, s.Epoch)
	fmt.Fprintf(w, "revision\t%d, in force at %d agents", s.Revision, s.AgentsAtRevision)
	if len(s.AgentsBehind) > 0 {
		fmt.Fprintf(w, ", not yet at %s", strings.Join(s.AgentsBehind, ", "))
	}
	fmt.Fprintln(w)
	for _, m := range s.Entries {
		fmt.Fprintf(w, "member\t%s\t%s\t%s\t%s\n", m.Name, m.State, m.Address, m.ID)
	}
	for _, d := range s.Domains {
		state := "in"
		if d.Out {
			state = "out"
		}
		fmt.Fprintf(w, "domain\t%s\t%s\t%s\n", d.Name, d.Region, state)
	}
	for _, a := range s.Accounts {
		fmt.Fprintf(w, "account\t%s\tguaranteed %d\tused %d\trunning %d\twaiting %d\n",
			a.Name, a.GuaranteedAccelerators, a.UsedAccelerators, a.RunningJobs, a.WaitingJobs)
		for _, short := range a.UnmetGuarantees {
			fmt.Fprintf(w, "short\t%s\t%s\n", a.Name, short)
		}
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "upstream\t%s\t%s\tfree %d of %d\tleaving %t\tdrained %t\n",
			u.Identity.Name, u.Identity.Domain, u.FreeSlots, u.Identity.Slots, u.Leaving, u.Drained)
	}
	for _, wk := range s.Workers {
		fmt.Fprintf(w, "worker\t%s\t%s\track %s\t%d accelerators\tusable %t\n",
			wk.Identity.Name, wk.Identity.Domain, wk.Identity.Rack, wk.Identity.Accelerators, wk.Usable)
	}
	fmt.Fprintf(w, "free\t%d accelerators, largest block in a rack %d\n", s.FreeAccelerators, s.LargestFreeBlock)
	states := make([]string, 0, len(s.Jobs))
	for state, n := range s.Jobs {
		states = append(states, fmt.Sprintf("%s %d", state, n))
	}
	sort.Strings(states)
	fmt.Fprintf(w, "jobs\t%s\n", strings.Join(states, ", "))
}

package plan

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
)

// maxCount bounds the gangs of one guarantee. It is above the accelerators of
// the target size and keeps a mistyped number from filling the memory.
const maxCount = 10_000

// Check returns all faults of an intent against the configuration, or nil. The
// code of the error is the one of the first fault.
func Check(in rosemarysill.Intent, cfg rosemarysill.Configuration) error {
	var f faults
	switch in.Kind {
	case rosemarysill.TakeOut, rosemarysill.BringBack:
		if !hasDomain(cfg, in.Target) {
			f.add(rosemarysill.UnknownDomain, "failure domain %q is not declared", in.Target)
		}
	case rosemarysill.Grant:
		if _, ok := cfg.Account(in.Target); !ok {
			f.add(rosemarysill.UnknownAccount, "account %q is not declared", in.Target)
		}
		f.account(rosemarysill.Account{
			Name: in.Target, Guarantees: in.Guarantees, QuotaAccelerators: in.QuotaAccelerators,
		}, "account "+in.Target)
	case rosemarysill.Drain, rosemarysill.Undrain:
		if in.Target == "" {
			f.add(rosemarysill.UnknownUpstream, "the upstream has no name")
		} else if in.Kind == rosemarysill.Undrain && !cfg.IsDrained(in.Target) {
			f.add(rosemarysill.UnknownUpstream, "upstream %q is not drained", in.Target)
		}
	case rosemarysill.Declare:
		f.document(in)
	case rosemarysill.RemoveEntries:
		for _, name := range strings.Split(in.Target, ",") {
			if _, err := uuid.Parse(strings.TrimSpace(name)); err != nil {
				f.add(rosemarysill.UnknownEntry, "%q is not the identity of an entry", name)
			}
		}
	default:
		f.add(rosemarysill.InvalidArguments, "unknown kind of intent %q", in.Kind)
	}
	return f.err()
}

// faults collects what is wrong with an intent.
type faults struct {
	code rosemarysill.Code
	list []string
}

func (f *faults) add(code rosemarysill.Code, format string, args ...any) {
	if len(f.list) == 0 {
		f.code = code
	}
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return rosemarysill.NewError(f.code, "%s", strings.Join(f.list, "; "))
}

// document checks the accounts and failure domains that are declared.
func (f *faults) document(in rosemarysill.Intent) {
	if len(in.Accounts)+len(in.Domains) == 0 {
		f.add(rosemarysill.InvalidSettings, "neither accounts nor failure domains are declared")
	}
	names := map[string]bool{}
	for n, a := range in.Accounts {
		key := fmt.Sprintf("Accounts[%d] %s", n, a.Name)
		if names[a.Name] {
			f.add(rosemarysill.InvalidSettings, "%s: declared twice", key)
		}
		names[a.Name] = true
		f.account(a, key)
	}
	names = map[string]bool{}
	for n, d := range in.Domains {
		if names[d.Name] {
			f.add(rosemarysill.InvalidSettings, "Domains[%d] %s: declared twice", n, d.Name)
		}
		names[d.Name] = true
		if d.Name == "" {
			f.add(rosemarysill.InvalidSettings, "Domains[%d]: Name is empty", n)
		}
	}
}

func (f *faults) account(a rosemarysill.Account, key string) {
	if a.Name == "" {
		f.add(rosemarysill.InvalidSettings, "%s: Name is empty", key)
	}
	if a.QuotaAccelerators < 0 {
		f.add(rosemarysill.InvalidSettings, "%s: QuotaAccelerators is negative", key)
	}
	total := 0
	shapes := map[rosemarysill.Shape]bool{}
	for n, g := range a.Guarantees {
		at := fmt.Sprintf("%s: Guarantees[%d]", key, n)
		if s := g.Shape; s.Members < 1 || s.Accelerators < 0 || s.Processors < 0 || s.MemoryMB < 0 ||
			s.Accelerators+s.Processors+s.MemoryMB == 0 {
			f.add(rosemarysill.InvalidSettings, "%s: the shape needs members and resources", at)
		}
		if g.Count < 1 || g.Count > maxCount {
			f.add(rosemarysill.InvalidSettings, "%s: Count is not from 1 to %d", at, maxCount)
		}
		if shapes[g.Shape] {
			f.add(rosemarysill.InvalidSettings, "%s: the shape is granted twice", at)
		}
		shapes[g.Shape] = true
		total += g.Count * g.Shape.TotalAccelerators()
	}
	if a.QuotaAccelerators > 0 && total > a.QuotaAccelerators {
		f.add(rosemarysill.InvalidSettings, "%s: %d guaranteed accelerators exceed the quota of %d",
			key, total, a.QuotaAccelerators)
	}
}

func hasDomain(cfg rosemarysill.Configuration, name string) bool {
	for _, d := range cfg.Domains {
		if d.Name == name {
			return true
		}
	}
	return false
}

package operator

import (
	"fmt"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/message"
)

// Bounds of an intent. The configuration is one document of at most 1 MB.
const (
	maxNameBytes  = 4096 // RemoveEntries has several identities in Target
	maxGuarantees = 1024
	maxQuota      = 1 << 20
)

var kinds = map[rosemarysill.IntentKind]bool{
	rosemarysill.TakeOut: true, rosemarysill.BringBack: true, rosemarysill.Grant: true, rosemarysill.Drain: true,
	rosemarysill.Undrain: true, rosemarysill.Declare: true, rosemarysill.RemoveEntries: true,
}

// checkIntent adds the faults that can be seen without the configuration.
func checkIntent(faults *message.Faults, in *rosemarysill.Intent) {
	if !kinds[in.Kind] {
		faults.Add("Kind", "is not a known kind of intent")
	}
	if in.Target == "" && in.Kind != rosemarysill.Declare {
		faults.Add("Target", "is missing")
	}
	if len(in.Target) > maxNameBytes {
		faults.Add("Target", "exceeds %d bytes", maxNameBytes)
	}
	if in.Kind == rosemarysill.Declare && len(in.Accounts)+len(in.Domains) == 0 {
		faults.Add("Accounts", "are missing, and so are Domains")
	}
	faults.Between("QuotaAccelerators", in.QuotaAccelerators, 0, maxQuota)
	checkGuarantees(faults, "Guarantees", in.Guarantees)
	for i, a := range in.Accounts {
		key := fmt.Sprintf("Accounts[%d]", i)
		checkName(faults, key+".Name", a.Name)
		faults.Between(key+".QuotaAccelerators", a.QuotaAccelerators, 0, maxQuota)
		checkGuarantees(faults, key+".Guarantees", a.Guarantees)
	}
	for i, d := range in.Domains {
		checkName(faults, fmt.Sprintf("Domains[%d].Name", i), d.Name)
	}
}

func checkName(faults *message.Faults, key, name string) {
	if name == "" {
		faults.Add(key, "is missing")
	}
}

func checkGuarantees(faults *message.Faults, key string, all []rosemarysill.Guarantee) {
	if len(all) > maxGuarantees {
		faults.Add(key, "are more than %d", maxGuarantees)
		return
	}
	for i, g := range all {
		at := fmt.Sprintf("%s[%d].", key, i)
		faults.Between(at+"Count", g.Count, 1, maxQuota)
		faults.Between(at+"Shape.Members", g.Shape.Members, 1, maxQuota)
		faults.Between(at+"Shape.Accelerators", g.Shape.Accelerators, 0, maxQuota)
		faults.Between(at+"Shape.Processors", g.Shape.Processors, 0, maxQuota)
		faults.Between(at+"Shape.MemoryMB", g.Shape.MemoryMB, 0, 1<<30)
	}
}

package settings

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/form"
)

type shapeDocument struct {
	Members      int `settings:"required,min=1,max=128"` // 128 is the largest gang at the target scale
	Accelerators int `settings:"required,min=0,max=64"`  // per member
	Processors   int `settings:"required,min=1,max=4096"`
	MemoryMB     int `settings:"required,min=1,max=67108864"`
	Adjacent     bool
}

type guaranteeDocument struct {
	Shape shapeDocument `settings:"required"`
	Count int           `settings:"required,min=1,max=1024"`
}

type accountDocument struct {
	Name              string              `settings:"required,name"`
	QuotaAccelerators int                 `settings:"min=0,max=1000000"` // 0 means no limit
	Guarantees        []guaranteeDocument `settings:"max=64"`
}

type domainDocument struct {
	Name   string `settings:"required,name"`
	Region string `settings:"required,name"`
}

type operatorsDocument struct {
	Domains  []domainDocument  `settings:"max=64"`
	Accounts []accountDocument `settings:"max=1024"`
}

// Operators is the content of an operators' document: client accounts with their
// guarantees and quotas, and failure domains with their regions.
type Operators struct {
	Accounts []rosemarysill.Account
	Domains  []rosemarysill.Domain
}

// ReadOperators reads an operators' document from a file.
func ReadOperators(file string) (Operators, error) {
	data, err := form.Read(file)
	if err != nil {
		return Operators{}, err
	}
	return ParseOperators(file, data)
}

// ParseOperators decodes an operators' document. The file name is used in
// faults only.
func ParseOperators(file string, data []byte) (Operators, error) {
	var doc operatorsDocument
	d := newDecoder(file)
	d.Decode(data, &doc)
	if !d.Empty() {
		d.checkOperators(doc)
	}
	if err := d.Faults(); err != nil {
		return Operators{}, err
	}
	return doc.operators(), nil
}

// checkOperators reports an empty document, duplicate names, and quotas that are
// lower than the guarantees of the account.
func (d *decoder) checkOperators(doc operatorsDocument) {
	if !d.Has("Accounts") && !d.Has("Domains") {
		d.AddFault("", "document declares neither Accounts nor Domains")
	}
	domains, accounts := map[string]int{}, map[string]int{}
	for i, dom := range doc.Domains {
		d.checkUnique("Domains", i, dom.Name, domains)
	}
	for i, a := range doc.Accounts {
		d.checkUnique("Accounts", i, a.Name, accounts)
		total := 0
		for _, g := range a.Guarantees {
			total += g.Count * g.Shape.Members * g.Shape.Accelerators
		}
		if a.QuotaAccelerators > 0 && total > a.QuotaAccelerators {
			d.AddFault(itemKey("Accounts", i)+".QuotaAccelerators", "is %d, but the guarantees add up to %d accelerators", a.QuotaAccelerators, total)
		}
	}
}

// checkUnique reports a name that an earlier item of the list already has.
func (d *decoder) checkUnique(key string, i int, name string, indexes map[string]int) {
	if name == "" {
		return
	}
	if first, ok := indexes[name]; ok {
		d.AddFault(itemKey(key, i)+".Name", "%q is already declared by %s", name, itemKey(key, first))
		return
	}
	indexes[name] = i
}

func (doc operatorsDocument) operators() Operators {
	var o Operators
	for _, dom := range doc.Domains {
		o.Domains = append(o.Domains, rosemarysill.Domain{Name: dom.Name, Region: dom.Region})
	}
	for _, a := range doc.Accounts {
		account := rosemarysill.Account{Name: a.Name, QuotaAccelerators: a.QuotaAccelerators}
		for _, g := range a.Guarantees {
			account.Guarantees = append(account.Guarantees, rosemarysill.Guarantee{Shape: rosemarysill.Shape(g.Shape), Count: g.Count})
		}
		o.Accounts = append(o.Accounts, account)
	}
	return o
}

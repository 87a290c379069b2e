package account

import "github.com/rosemarysill/rosemarysill"

// Unit is one gang of a guarantee. It is claimed whole by a job of exactly its
// shape. Smaller jobs may hold some of its members; then Room members are left,
// and the whole unit can still be claimed by its account.
type Unit struct {
	Account string
	Shape   rosemarysill.Shape
	Claimed bool
	Room    int
}

// Book is the use of capacity by all accounts at one moment.
type Book struct {
	total    Resources
	units    []Unit
	accounts map[string]*ledger
}

type ledger struct {
	quota        int
	accelerators int       // held by all placed jobs
	borrowed     Resources // held by placed jobs outside the guarantee
	units        []int
}

// NewBook returns a book without any use. The total is the capacity against
// which shares are measured.
func NewBook(cfg rosemarysill.Configuration, total Resources) *Book {
	b := &Book{total: total, accounts: make(map[string]*ledger, len(cfg.Accounts))}
	for _, a := range cfg.Accounts {
		l := &ledger{quota: a.QuotaAccelerators}
		for _, g := range a.Guarantees {
			for range g.Count {
				l.units = append(l.units, len(b.units))
				b.units = append(b.units, Unit{Account: a.Name, Shape: g.Shape, Room: g.Shape.Members})
			}
		}
		b.accounts[a.Name] = l
	}
	return b
}

// Units returns all units of all guarantees. The caller does not change them.
func (b *Book) Units() []Unit { return b.units }

// Find returns the unit that covers a job: an unclaimed unit of exactly its
// shape (whole), the one with most room first, or the unit with least room that
// has room for it.
func (b *Book) Find(spec rosemarysill.JobSpec) (unit int, whole, ok bool) {
	l := b.accounts[spec.Account]
	if l == nil {
		return 0, false, false
	}
	unit = -1
	for _, i := range l.units {
		u := &b.units[i]
		if !u.Claimed && u.Shape == spec.Shape && (unit < 0 || u.Room > b.units[unit].Room) {
			unit = i
		}
	}
	if unit >= 0 {
		return unit, true, true
	}
	for _, i := range l.units {
		u := &b.units[i]
		if !u.Claimed && u.covers(spec.Shape) && (unit < 0 || u.Room < b.units[unit].Room) {
			unit = i
		}
	}
	return max(unit, 0), false, unit >= 0
}

// Grants reports whether the account's guarantee is of exactly the shape of the
// job, whether claimed or not.
func (b *Book) Grants(spec rosemarysill.JobSpec) bool {
	l := b.accounts[spec.Account]
	if l == nil {
		return false
	}
	for _, i := range l.units {
		if b.units[i].Shape == spec.Shape {
			return true
		}
	}
	return false
}

// covers reports whether a smaller job fits in the members left of a unit.
func (u *Unit) covers(s rosemarysill.Shape) bool {
	return s.Members <= u.Room && s.Accelerators <= u.Shape.Accelerators && s.Processors <= u.Shape.Processors &&
		s.MemoryMB <= u.Shape.MemoryMB && (!s.Adjacent || u.Shape.Adjacent || s.Members == 1)
}

// Charge enters a job that is covered by a unit, as Find returned it.
func (b *Book) Charge(spec rosemarysill.JobSpec, unit int, whole bool) {
	u := &b.units[unit]
	if whole {
		u.Claimed, u.Room = true, 0
	} else {
		u.Room -= spec.Shape.Members
	}
	b.accounts[spec.Account].accelerators += spec.Shape.TotalAccelerators()
}

// Borrow enters a job that is not covered by a guarantee.
func (b *Book) Borrow(spec rosemarysill.JobSpec) {
	l := b.accounts[spec.Account]
	if l == nil {
		l = &ledger{}
		b.accounts[spec.Account] = l
	}
	l.accelerators += spec.Shape.TotalAccelerators()
	l.borrowed = l.borrowed.Add(MemberOf(spec.Shape), spec.Shape.Members)
}

// WithinQuota reports whether the account may hold the job as well.
func (b *Book) WithinQuota(spec rosemarysill.JobSpec) bool {
	l := b.accounts[spec.Account]
	return l == nil || l.quota <= 0 || l.accelerators+spec.Shape.TotalAccelerators() <= l.quota
}

// Share returns the dominant share of all capacity that the account has
// borrowed.
func (b *Book) Share(account string) float64 {
	if l := b.accounts[account]; l != nil {
		return l.borrowed.Dominant(b.total)
	}
	return 0
}

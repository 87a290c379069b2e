package account_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

func spec(name string, class rosemarysill.Class, s rosemarysill.Shape) rosemarysill.JobSpec {
	return rosemarysill.JobSpec{Account: name, Class: class, Shape: s}
}

// Guards against a guarantee that one account uses twice, and against a small
// job that takes the place of the whole gang that was granted.
func TestFindUnit(t *testing.T) {
	gang := rosemarysill.Shape{Members: 4, Accelerators: 2, Adjacent: true}
	pair := rosemarysill.Shape{Members: 2, Accelerators: 2, Adjacent: true}
	cfg := rosemarysill.Configuration{Accounts: []rosemarysill.Account{
		{Name: "a", Guarantees: []rosemarysill.Guarantee{{Shape: gang, Count: 2}}}, {Name: "b"},
	}}
	tests := map[string]struct {
		charged []rosemarysill.Shape
		shape   rosemarysill.Shape
		account string
		whole   bool
		ok      bool
	}{
		"exact shape":              {shape: gang, account: "a", whole: true, ok: true},
		"both units claimed":       {charged: []rosemarysill.Shape{gang, gang}, shape: gang, account: "a"},
		"beside small jobs":        {charged: []rosemarysill.Shape{pair, pair, pair, pair}, shape: gang, account: "a", whole: true, ok: true},
		"smaller job":              {shape: pair, account: "a", ok: true},
		"no room for small jobs":   {charged: []rosemarysill.Shape{gang, pair, pair}, shape: pair, account: "a"},
		"larger member":            {shape: rosemarysill.Shape{Members: 1, Accelerators: 3}, account: "a"},
		"more members":             {shape: rosemarysill.Shape{Members: 5, Accelerators: 1}, account: "a"},
		"account without grant":    {shape: pair, account: "b"},
		"account that is unknown":  {shape: pair, account: "c"},
		"spread instead of a rack": {shape: rosemarysill.Shape{Members: 4, Accelerators: 2}, account: "a", ok: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := account.NewBook(cfg, account.Resources{Accelerators: 100})
			for _, s := range tt.charged {
				j := spec("a", rosemarysill.Normal, s)
				unit, whole, ok := b.Find(j)
				require.True(t, ok)
				b.Charge(j, unit, whole)
			}
			_, whole, ok := b.Find(spec(tt.account, rosemarysill.Normal, tt.shape))
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.whole, whole)
			require.Zero(t, b.Share("a"), "guaranteed use is not borrowed")
		})
	}
}

// Guards against an account that gets ahead by sending more or smaller
// requests, and against urgent work that waits behind other classes.
func TestQueueOrder(t *testing.T) {
	one := rosemarysill.Shape{Members: 1, Accelerators: 1}
	b := account.NewBook(rosemarysill.Configuration{}, account.Resources{Accelerators: 100, Processors: 10})
	b.Borrow(spec("cpu", rosemarysill.Normal, rosemarysill.Shape{Members: 1, Processors: 5}))
	b.Borrow(spec("many", rosemarysill.Normal, rosemarysill.Shape{Members: 1, Accelerators: 2}))
	waiting := []rosemarysill.WaitingJob{
		{Spec: spec("cpu", rosemarysill.Normal, one)},
		{Spec: spec("many", rosemarysill.Normal, one)},
		{Spec: spec("many", rosemarysill.Normal, one)},
		{Spec: spec("few", rosemarysill.Normal, rosemarysill.Shape{Members: 3, Accelerators: 1})},
		{Spec: spec("few", rosemarysill.Normal, one)},
		{Spec: spec("cpu", rosemarysill.Urgent, one)},
		{Spec: spec("few", "Unheard", one)},
	}
	include := []bool{true, true, true, true, true, true, true}
	q := account.NewQueue(waiting, include, b)
	var order []int
	for i, ok := q.Next(); ok; i, ok = q.Next() {
		order = append(order, i)
		b.Borrow(waiting[i].Spec)
	}
	require.Equal(t, []int{5, 3, 1, 2, 4, 0, 6}, order)
}

// Guards against an account that exceeds its quota by guaranteed and borrowed
// work together.
func TestWithinQuota(t *testing.T) {
	one := rosemarysill.Shape{Members: 1, Accelerators: 1}
	cfg := rosemarysill.Configuration{Accounts: []rosemarysill.Account{
		{Name: "a", QuotaAccelerators: 2, Guarantees: []rosemarysill.Guarantee{{Shape: one, Count: 1}}},
	}}
	b := account.NewBook(cfg, account.Resources{Accelerators: 100})
	j := spec("a", rosemarysill.Normal, one)
	unit, whole, _ := b.Find(j)
	b.Charge(j, unit, whole)
	require.True(t, b.WithinQuota(j))
	b.Borrow(j)
	require.False(t, b.WithinQuota(j))
	require.InDelta(t, 0.01, b.Share("a"), 1e-9)
}

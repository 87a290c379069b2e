package membership

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// put writes a document into the store as another entry would.
func (s *fakeStore) put(key string, v any) {
	value, _ := json.Marshal(v)
	s.items[key] = rosemarysill.Item{Key: key, Value: value, Version: s.items[key].Version + 1}
}

// changeAndLeave makes the other entry change the configuration and leave, just
// before the n-th Get of this entry.
func changeAndLeave(s *fakeStore, n int, self rosemarysill.Member) func(op, key string) fault {
	gets := 0
	return func(op, _ string) fault {
		if op == "Get" {
			if gets++; gets == n {
				s.mu.Lock()
				s.put(ConfigKey, rosemarysill.Configuration{Revision: 5})
				s.put(MembersKey, rosemarysill.Members{Revision: 8, Entries: []rosemarysill.Member{self}})
				s.mu.Unlock()
			}
		}
		return none
	}
}

// TestReadHidesNoChange guards against a read that shows the list without an
// entry beside the configuration from before that entry's last change: with
// them, this entry would be alone in the list and authoritative by silence on
// the old configuration.
func TestReadHidesNoChange(t *testing.T) {
	self := rosemarysill.Member{ID: uuid.UUID{1}, State: rosemarysill.Established}
	other := rosemarysill.Member{ID: uuid.UUID{2}, State: rosemarysill.Established}
	for n := 1; n <= 3; n++ {
		s := newFakeStore()
		s.put(ConfigKey, rosemarysill.Configuration{Revision: 4})
		s.put(MembersKey, rosemarysill.Members{Revision: 7, Entries: []rosemarysill.Member{self, other}})
		m := New(self, nil, rosemarysill.WithStore(&link{fakeStore: s, fault: changeAndLeave(s, n, self)}))
		require.NoError(t, m.read(context.Background()))
		a := m.Authority()
		require.False(t, a.Config.Revision == 4 && a.Members.Revision == 8, "change before read %d", n)
	}
}

// TestRemovalReadsConfigAgain guards against the removal of an entry whose last
// change of the configuration the remover has not seen.
func TestRemovalReadsConfigAgain(t *testing.T) {
	self := rosemarysill.Member{ID: uuid.UUID{1}, State: rosemarysill.Established}
	other := rosemarysill.Member{ID: uuid.UUID{2}, State: rosemarysill.Established}
	s := newFakeStore()
	list := rosemarysill.Members{Revision: 7, Entries: []rosemarysill.Member{self, other}}
	s.put(ConfigKey, rosemarysill.Configuration{Revision: 4})
	s.put(MembersKey, list)
	s.put(ContactPrefix+other.ID.String(), mark{Entry: other.ID})
	m := New(self, nil, rosemarysill.WithStore(&link{fakeStore: s}))
	require.NoError(t, m.read(context.Background()))
	s.put(ConfigKey, rosemarysill.Configuration{Revision: 5})
	without := rosemarysill.Members{Revision: 8, Entries: []rosemarysill.Member{self}}
	m.changeList(context.Background(), ListChange{List: without, Version: 1, Take: []Mark{{ID: other.ID, Version: 1}}})
	a := m.Authority()
	require.Equal(t, uint64(8), a.Members.Revision)
	require.Equal(t, uint64(5), a.Config.Revision)
}

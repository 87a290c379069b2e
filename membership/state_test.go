package membership

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// TestSilence guards against authority in an outage that not all entries
// observe, or on documents that they do not share. The entry has lost store
// contact; the reply of the other one is a second old.
func TestSilence(t *testing.T) {
	self := rosemarysill.Member{ID: uuid.UUID{1}, State: rosemarysill.Established}
	other := rosemarysill.Member{ID: uuid.UUID{2}, State: rosemarysill.Established}
	joining := rosemarysill.Member{ID: uuid.UUID{3}, State: rosemarysill.Joining}
	silent := rosemarysill.ConfirmReply{From: other.ID, ConfigRevision: 4, MembersRevision: 7}
	cases := map[string]struct {
		change func(r *rosemarysill.ConfirmReply)
		ack    bool
		sent   time.Duration // before now
		want   bool
	}{
		"same documents and no contact": {func(*rosemarysill.ConfirmReply) {}, false, time.Second, true},
		"the other has contact, then none for itself": {func(r *rosemarysill.ConfirmReply) {
			r.StoreContact = true
		}, false, time.Second, false},
		"newer configuration": {func(r *rosemarysill.ConfirmReply) { r.ConfigRevision++ }, false, time.Second, false},
		"older configuration": {func(r *rosemarysill.ConfirmReply) { r.ConfigRevision-- }, false, time.Second, false},
		"newer members":       {func(r *rosemarysill.ConfirmReply) { r.MembersRevision++ }, false, time.Second, false},
		"older configuration, with contact": {func(r *rosemarysill.ConfirmReply) {
			r.ConfigRevision--
			r.StoreContact, r.Authoritative = true, time.Minute
		}, false, time.Second, false},
		"sent too long ago, answered now": {func(*rosemarysill.ConfirmReply) {}, false, 3 * time.Second, false},
		"an acknowledged joining entry":   {func(*rosemarysill.ConfirmReply) {}, true, time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start.Add(time.Minute)
			s := NewState(self, rosemarysill.DefaultTimings())
			list := rosemarysill.Members{Revision: 7, Entries: []rosemarysill.Member{self, other, joining}}
			require.True(t, s.Read(rosemarysill.Configuration{Revision: 4}, list, 9, start, start))
			s.Marked(start)
			if c.ack {
				require.NoError(t, s.AckJoin(joining, now))
			}
			reply := silent
			c.change(&reply)
			s.Confirmed(reply, now.Add(-c.sent), now)
			require.Equal(t, c.want, s.Authority(now).Valid(now))
		})
	}
}

// TestContactNeedsMark guards against store contact of an entry that has been
// removed because its contact mark did not change.
func TestContactNeedsMark(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewState(rosemarysill.Member{ID: uuid.UUID{1}}, rosemarysill.DefaultTimings())
	list := rosemarysill.Members{Revision: 1, Entries: []rosemarysill.Member{{ID: uuid.UUID{1}, State: rosemarysill.Established}}}
	s.Marked(start)
	for d, want := range map[time.Duration]bool{time.Second: true, MarkEvery(s.Timings) + s.Timings.StoreFresh: false} {
		now := start.Add(d)
		require.True(t, s.Read(rosemarysill.Configuration{}, list, 1, now, now))
		require.Equal(t, want, now.Before(s.StoreDeadline()), d)
	}
}

package membership

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// mark is the value of a contact mark. Entry is its owner, or the entry that
// took it over to remove the owner.
type mark struct {
	Entry   uuid.UUID
	WriteID uuid.UUID
}

// cycle reads config and members and makes the writes that are due.
func (m *Membership) cycle(ctx context.Context) {
	select {
	case m.store <- struct{}{}:
		defer func() { <-m.store }()
	case <-ctx.Done():
		return
	}
	if m.read(ctx) != nil {
		m.update(func(*State, time.Time) {})
		return
	}
	m.mu.Lock()
	needed := m.state.MarksNeeded(m.opts.Now())
	m.mu.Unlock()
	if needed {
		m.listMarks(ctx)
	}
	m.mu.Lock()
	change, due := m.state.ListChange(m.opts.Now())
	m.mu.Unlock()
	if due {
		m.changeList(ctx, change)
	}
	m.mark(ctx)
}

// read takes over config and members from the store.
func (m *Membership) read(ctx context.Context) error {
	m.mu.Lock()
	cfgRevision, listRevision := m.state.Config.Revision, m.state.Members.Revision
	m.mu.Unlock()
	sent := m.opts.Now()
	// The list is read first: an entry that changed the configuration and then
	// left must not be missing from the list beside the old configuration.
	var list rosemarysill.Members
	version, err := m.decode(ctx, MembersKey, &list)
	if err != nil {
		return err
	}
	var cfg rosemarysill.Configuration
	if _, err := m.decode(ctx, ConfigKey, &cfg); err != nil {
		return err
	}
	if cfg.Revision < cfgRevision || list.Revision < listRevision {
		event.OlderDocument.Log(m.opts.Log).Uint64("Revision", cfg.Revision).Uint64("Known", cfgRevision).
			Uint64("MembersRevision", list.Revision).Uint64("KnownMembers", listRevision).Send()
	}
	m.update(func(s *State, now time.Time) {
		if s.Read(cfg, list, version, sent, now) && m.pending != nil && m.pending.WriteID == list.WriteID {
			s.MembersWritten(list, version, now)
			m.pending = nil
		}
	})
	return nil
}

// changeList takes over the marks of the entries to be removed and writes the
// list.
func (m *Membership) changeList(ctx context.Context, c ListChange) {
	for _, t := range c.Take {
		value := mark{Entry: m.state.Self.ID, WriteID: uuid.New()}
		if _, err := m.swap(ctx, ContactPrefix+t.ID.String(), value, t.Version); err != nil {
			return
		}
	}
	if len(c.Take) > 0 && m.readConfig(ctx) != nil {
		return
	}
	if m.writeList(ctx, c.List, c.Version) != nil {
		return
	}
	for _, t := range c.Take {
		event.EntryRemoved.Log(m.opts.Log).Str("Removed", t.ID.String()).Uint64("MembersRevision", c.List.Revision).Send()
	}
}

// readConfig reads the configuration again before entries are removed: their
// last change may have come after this entry's last read, and nobody is asked
// for it once they are out of the list.
func (m *Membership) readConfig(ctx context.Context) error {
	var cfg rosemarysill.Configuration
	if _, err := m.decode(ctx, ConfigKey, &cfg); err != nil {
		return err
	}
	m.update(func(s *State, _ time.Time) { s.ConfigRead(cfg) })
	return nil
}

// writeList writes the list by compare-and-swap. When the answer is lost, the
// next read recognises the write.
func (m *Membership) writeList(ctx context.Context, list rosemarysill.Members, version uint64) error {
	list.WriteID = uuid.New()
	m.pending = &list
	written, err := m.swap(ctx, MembersKey, list, version)
	if err != nil {
		if errors.IsAny(err, rosemarysill.ErrVersion, rosemarysill.ErrRateLimited) {
			m.pending = nil
		}
		return err
	}
	m.pending = nil
	m.update(func(s *State, now time.Time) { s.MembersWritten(list, written, now) })
	return nil
}

// mark writes the contact mark when it is due.
func (m *Membership) mark(ctx context.Context) {
	m.mu.Lock()
	due := m.state.MarkDue(m.opts.Now())
	m.mu.Unlock()
	if !due {
		return
	}
	key := ContactPrefix + m.state.Self.ID.String()
	value := mark{Entry: m.state.Self.ID, WriteID: uuid.New()}
	sent := m.opts.Now()
	for range 2 {
		version, err := m.swap(ctx, key, value, m.markVer)
		if err != nil {
			// The answer to this or an earlier write may have been lost, or
			// another entry has taken the mark.
			var found mark
			if version, err = m.decode(ctx, key, &found); err != nil {
				return
			}
			if found.Entry != m.state.Self.ID && version != m.markVer {
				m.markVer = version
				m.update(func(s *State, _ time.Time) { s.MarkLost() })
				return
			}
			if found.WriteID != value.WriteID {
				m.markVer = version
				continue
			}
		}
		m.markVer = version
		m.update(func(s *State, _ time.Time) { s.Marked(sent) })
		return
	}
}

// listMarks reads the contact marks of all entries, and deletes those of
// entries that were removed long ago.
func (m *Membership) listMarks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timings.StoreFresh)
	defer cancel()
	items, _, err := m.opts.Store.List(ctx, ContactPrefix)
	if err != nil {
		return
	}
	var marks []Mark
	for _, item := range items {
		id, err := uuid.Parse(strings.TrimPrefix(item.Key, ContactPrefix))
		var v mark
		if err != nil || json.Unmarshal(item.Value, &v) != nil {
			event.MalformedDocument.Log(m.opts.Log).Str("Key", item.Key).Send()
			continue
		}
		marks = append(marks, Mark{ID: id, Value: v.WriteID.String(), Version: item.Version})
	}
	var garbage []Mark
	m.update(func(s *State, now time.Time) { garbage = s.MarksSeen(marks, now) })
	for _, g := range garbage {
		// A failed deletion is repeated with the next removal.
		_ = m.opts.Store.Delete(ctx, ContactPrefix+g.ID.String(), g.Version)
	}
}

// Leave removes this entry from the list for a graceful shutdown and ends its
// authority at once. It is called before the context of Run ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(func(s *State, _ time.Time) { s.Leave() })
	return m.remove(ctx, []uuid.UUID{m.state.Self.ID}, event.ListLeft)
}

// RemoveEntries removes entries whose virtual machines are known to be gone,
// by the word of operators. It is the only change that a joining entry makes.
func (m *Membership) RemoveEntries(ctx context.Context, ids []uuid.UUID) error {
	return m.remove(ctx, ids, event.EntryRemoved)
}

// remove writes the list without the given entries and returns when a list
// without them has been read from the store or written.
func (m *Membership) remove(ctx context.Context, ids []uuid.UUID, e event.Event) error {
	select {
	case m.store <- struct{}{}:
		defer func() { <-m.store }()
	case <-ctx.Done():
		return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "removal of entries: %v", ctx.Err())
	}
	for {
		err := m.read(ctx)
		if err == nil {
			m.mu.Lock()
			list, version := m.state.Without(ids), m.state.MembersVersion
			gone := len(list.Entries) == len(m.state.Members.Entries)
			m.mu.Unlock()
			if gone {
				e.Log(m.opts.Log).Interface("Entries", ids).Uint64("MembersRevision", list.Revision-1).Send()
				return nil
			}
			err = m.writeList(ctx, list, version)
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "removal of entries: %v", err)
		case <-time.After(ReadEvery(m.opts.Timings) / 3):
		}
	}
}
